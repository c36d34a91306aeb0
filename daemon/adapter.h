/** @file
 * What differs when callers, upstreams and the table service speak the
 * protocol of the users' platform. */
#ifndef DAEMON_ADAPTER_H
#define DAEMON_ADAPTER_H

#include "core/clock.h"
#include "shell/settings.h"
#include "shell/store.h"

/** True when the settings name the platform. */
int Adapter_IsOn(const struct settings *settings);

/** Protocol of the table service. */
enum store_dialect Adapter_Dialect(const struct settings *settings);

/** Bounds by which our processes watch each other. */
void Adapter_Timing(const struct settings *settings, struct timing *timing);

/** Draw an incarnation. That of a later process of a VM is the higher one,
 * unless its clock was set back by more than its down time. */
uint64_t Adapter_NewIncarnation(void);

#endif
