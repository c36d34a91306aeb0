/** @file
 * Registration of a process: its row among the members in the table
 * service. */
#ifndef SHELL_REGISTRY_H
#define SHELL_REGISTRY_H

#include "core/entry.h"
#include "shell/settings.h"
#include "shell/store.h"

/** Key prefix of the members' rows. The node's name follows it. */
#define REG_PREFIX "member/"

/** Key of the row that exists while an entry whose node had no row is
 * registered and not accepted yet. Such entries join one at a time. */
#define REG_JOIN_LOCK "entries/step"

/** Called with the state that the previous process of this node saved in its
 * row; the state is borrowed. */
typedef void reg_restore(void *context, const json_t *state);

/** Called when the own row is known to be stored, with its version. */
typedef void reg_done(void *context, uint64_t version);

/** Registration of one process. The members `restore_row` and `restore` may be
 * set after Reg_Init(). */
struct registry {
    struct store *store;
    const struct settings *settings;
    uint64_t incarnation;
    uint64_t row_version; /**< Version of the node's row as it was read, 0 for
                               none. The commit depends on it. */
    uint64_t registered_version; /**< Version of the own row, 0 until it is
                                    stored. */
    int row_replaced;     /**< The commit overwrites a row that may be that of
                               an agent, whose memory is lost. */
    int restore_row;      /**< Reg_Verify() has a missing or outdated row
                               written again. */
    json_t *saved_state;  /**< Stored in the own row; owned, may be NULL. */
    int state_unsaved;    /**< The stored row lacks `saved_state`. */
    reg_restore *restore; /**< NULL for none. */
    uint64_t join_lock_version; /**< Version of REG_JOIN_LOCK, 0 for none. */
    int is_joining;             /**< This is an entry whose node has no
                                     row. */
    int waits_for_join;         /**< Waits until another entry has joined. */
    int waits_for_removal;      /**< Waits until the row of an entry at another
                                     address is removed. */
    int row_lost;               /**< The own row was replaced or removed. */
    int verifying;              /**< A read of Reg_Verify() is in progress. */
    int phase; /**< 0: the row is to be read; 1: a call is in progress; 2: the
                   row was read and the own one is to be committed. */
    reg_done *done;
    void *context;
};

/** Initialise; no call is sent before Reg_Step(). */
void Reg_Init(struct registry *registry, struct store *store,
              const struct settings *settings, uint64_t incarnation,
              reg_done *done, void *context);

/** Store a state in the own row for the next process of this node. Takes over
 * the reference to `state`. */
void Reg_SetSavedState(struct registry *registry, json_t *state);

/** Free the saved state. */
void Reg_Finish(struct registry *registry);

/** Send the next call of the registration: a read of the node's row or the
 * commit of the own row. Call it periodically; it does nothing while a call is
 * in progress or `registered_version` is set. */
void Reg_Step(struct registry *registry);

/** Read the own row again. If it is missing or replaced, `row_lost` is set or,
 * with `restore_row`, Reg_Step() registers again. */
void Reg_Verify(struct registry *registry);

/** Parse a member from the key, value and version of its row. Returns -1 when
 * the row is not that of a member. */
int Reg_ReadMember(struct ent_member *member, const char *key,
                   const json_t *value, uint64_t version);

/** Read the capacity of the upstream that an agent saved in its row. Returns
 * -1 when it is missing or out of range. */
int Reg_ReadCapacity(struct resources *capacity, const json_t *saved);

#endif
