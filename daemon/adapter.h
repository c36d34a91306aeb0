/** @file
 * Selects the protocol spoken with callers, upstreams and the table service:
 * this project's own, or that of the users' platform. */
#ifndef DAEMON_ADAPTER_H
#define DAEMON_ADAPTER_H

#include "core/clock.h"
#include "shell/settings.h"
#include "shell/store.h"

/** True if the setting `adapter` selects the platform's protocol. */
int Adapter_IsOn(const struct settings *settings);

/** Returns the protocol of the table service that the setting `adapter`
 * selects. */
enum store_protocol Adapter_StoreProtocol(const struct settings *settings);

/** Sets the failure detection timeouts between entries and agents. They are
 * derived from the settings resubmit_ms and upstream_lease_ms, or are the
 * defaults of Timing_Init() if resubmit_ms is 0. */
void Adapter_Timing(const struct settings *settings, struct timing *timing);

/** Returns a new incarnation number. It is higher than those of earlier
 * processes on the same VM, unless the VM's clock was set back by more than
 * the time between the two starts. */
uint64_t Adapter_NewIncarnation(void);

#endif
