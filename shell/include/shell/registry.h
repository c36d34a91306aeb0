/** @file
 * The process's own row among the members, in the table service. */
#ifndef SHELL_REGISTRY_H
#define SHELL_REGISTRY_H

#include "core/entry.h"
#include "shell/settings.h"
#include "shell/store.h"

/** Prefix of the members' rows. */
#define REG_PREFIX "member/"

/** Row that stands while an entry of a new name is not accepted yet. */
#define REG_JOIN_LOCK "entries/step"

/** Called with the note in the row of the process before this one. */
typedef void reg_restore(void *context, const json_t *note);

/** Called when the own row has been committed at `version`. */
typedef void reg_done(void *context, uint64_t version);

/** Keeps the own row registered. */
struct registry {
    struct store *store;
    const struct settings *settings;
    uint64_t incarnation;
    uint64_t row_version; /**< Of the row that the own one replaces. */
    uint64_t registered;  /**< Version of the own row, 0 before it. */
    int row_replaced;
    int restore_row;      /**< A row that is gone is written again. */
    json_t *saved_state;  /**< Kept in the own row; owned, NULL for none. */
    int state_unsaved;    /**< The row does not hold the note yet. */
    reg_restore *restore; /**< NULL for none. */
    uint64_t join_lock_version; /**< Of REG_JOIN_LOCK, 0 for none. */
    int is_joining;             /**< As an entry of a new name. */
    int waits_for_join;         /**< Another one is joining. */
    int waits_for_removal;      /**< An entry elsewhere has the node's row. */
    int row_lost;               /**< The own row was replaced or removed. */
    int verifying;
    int busy;
    reg_done *done;
    void *context;
};

/** Prepare; nothing is sent yet. */
void Reg_Init(struct registry *registry, struct store *store,
              const struct settings *settings, uint64_t incarnation,
              reg_done *done, void *context);

/** Keep a note in the own row, for the next process of this node. The note
 * is given up. */
void Reg_SetSavedState(struct registry *registry, json_t *note);

/** Free what it owns. */
void Reg_Finish(struct registry *registry);

/** Take the next step: read the old row, then commit the own. Call it again
 * and again until `registered` is set. */
void Reg_Step(struct registry *registry);

/** Look whether the own row is still there; sets `lost` when it is not. */
void Reg_Verify(struct registry *registry);

/** Read a member from a row's value. Returns -1 when it is not one. */
int Reg_ReadMember(struct ent_member *member, const char *key,
                   const json_t *value, uint64_t version);

#endif
