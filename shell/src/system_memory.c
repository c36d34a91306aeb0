#include "shell/system_memory.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define PATH_SIZE 4096
/* /proc/self/cgroup has a line for each hierarchy. */
#define TEXT_SIZE 8192

/* Where a version of control groups has the limit of a group. */
struct hierarchy {
    const char *controller; /* In its line of /proc/self/cgroup. */
    const char *mount;
    const char *file;
};

static const struct hierarchy hierarchies[] = {
    {"", "/sys/fs/cgroup", "memory.max"},
    {"memory", "/sys/fs/cgroup/memory", "memory.limit_in_bytes"},
};

static uint64_t
least(uint64_t a, uint64_t b)
{
    return a < b ? a : b;
}

static uint64_t
machine_memory(void)
{
    long pages = sysconf(_SC_PHYS_PAGES);
    long size = sysconf(_SC_PAGESIZE);
    return pages > 0 && size > 0 ? (uint64_t)pages * (uint64_t)size
                                 : UINT64_MAX;
}

static uint64_t
process_limit(int resource)
{
    struct rlimit limit;
    return getrlimit(resource, &limit) || limit.rlim_cur == RLIM_INFINITY
               ? UINT64_MAX
               : limit.rlim_cur;
}

/* Reads a file without allocating memory. Returns -1 if there is none. */
static int
read_text(const char *path, char *text, size_t size)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return -1;
    }
    ssize_t got = read(fd, text, size - 1);
    close(fd);
    if (got < 0) {
        return -1;
    }
    text[got] = '\0';
    return 0;
}

/* The limit of one group; "max" means that it has none. */
static uint64_t
read_limit(const char *path)
{
    char text[32];
    char *end;
    if (read_text(path, text, sizeof(text))) {
        return UINT64_MAX;
    }
    uint64_t limit = strtoull(text, &end, 10);
    return end == text ? UINT64_MAX : limit;
}

/* The least limit of a group and those above it. `group` is shortened. */
static uint64_t
group_limit(const char *root, const struct hierarchy *hierarchy, char *group)
{
    char path[PATH_SIZE];
    uint64_t limit = UINT64_MAX;
    for (;;) {
        size_t size = strlen(group);
        if (size && group[size - 1] == '/') {
            group[size - 1] = '\0';
        }
        int used = snprintf(path, sizeof(path), "%s%s%s/%s", root,
                            hierarchy->mount, group, hierarchy->file);
        if (used > 0 && (size_t)used < sizeof(path)) {
            limit = least(limit, read_limit(path));
        }
        char *last = strrchr(group, '/');
        if (!last) {
            return limit;
        }
        *last = '\0';
    }
}

/* True if `name` is one of a list with commas. */
static int
is_listed(const char *list, const char *name)
{
    size_t size = strlen(name);
    for (; list; list = strchr(list, ',')) {
        list += *list == ',';
        if (strncmp(list, name, size) == 0 &&
            (list[size] == ',' || list[size] == '\0')) {
            return 1;
        }
    }
    return 0;
}

/* A line is "number:controllers:group"; version 2 has no controllers. */
static uint64_t
line_limit(const char *root, char *line)
{
    uint64_t limit = UINT64_MAX;
    char *controllers = strchr(line, ':');
    char *group = controllers ? strchr(controllers + 1, ':') : NULL;
    if (!group) {
        return limit;
    }
    controllers++;
    *group++ = '\0';
    for (size_t i = 0; i < sizeof(hierarchies) / sizeof(hierarchies[0]); i++) {
        const struct hierarchy *hierarchy = &hierarchies[i];
        if (is_listed(controllers, hierarchy->controller)) {
            limit = least(limit, group_limit(root, hierarchy, group));
        }
    }
    return limit;
}

static uint64_t
control_group_limit(const char *root)
{
    char path[PATH_SIZE];
    char text[TEXT_SIZE];
    char *rest = NULL;
    uint64_t limit = UINT64_MAX;
    snprintf(path, sizeof(path), "%s/proc/self/cgroup", root);
    if (read_text(path, text, sizeof(text))) {
        return limit;
    }
    for (char *line = strtok_r(text, "\n", &rest); line;
         line = strtok_r(NULL, "\n", &rest)) {
        limit = least(limit, line_limit(root, line));
    }
    return limit;
}

uint64_t
Sysmem_Limit(const char *root)
{
    uint64_t limit = machine_memory();
    limit = least(limit, process_limit(RLIMIT_AS));
    limit = least(limit, process_limit(RLIMIT_DATA));
    return least(limit, control_group_limit(root));
}
