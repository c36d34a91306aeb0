/* Runs one scenario, a Lua script that uses the functions of
 * scenarios/verbs.lua. Every process that the scenario starts is killed when
 * the runner exits.
 *
 *   runner VERBS SCRIPT BUILD WORK BASE_PORT SEED
 *
 * VERBS is run before SCRIPT; the arguments after VERBS are Lua globals of the
 * same names. Exits with 0 if both scripts succeed, 1 if one fails (its error
 * and the timeline are printed), 2 on wrong usage. */
#include <errno.h>
#include <fcntl.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_CHILDREN 1024
#define MAX_ARGS 32
#define US_PER_S 1000000ll
#define NS_PER_MS 1000000l

static pid_t children[MAX_CHILDREN];
static int child_count;

static void
kill_children(void)
{
    for (int i = 0; i < child_count; i++) {
        if (children[i] > 0) {
            kill(children[i], SIGKILL);
            waitpid(children[i], NULL, 0);
        }
    }
}

static void
exec_child(const char *output, char *const *args)
{
    int fd = open(output, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (fd < 0) {
        _exit(126);
    }
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execvp(args[0], args);
    _exit(127);
}

static int
find_free_slot(void)
{
    int slot = 0;
    while (slot < child_count && children[slot] != 0) {
        slot++;
    }
    return slot;
}

/* sys.spawn(output_file, program, arguments...) -> pid. Standard output and
 * standard error of the process go to output_file. */
static int
spawn(lua_State *lua)
{
    char *args[MAX_ARGS + 1] = {NULL};
    const char *output = luaL_checkstring(lua, 1);
    int count = lua_gettop(lua) - 1;
    int slot = find_free_slot();
    if (count < 1 || count > MAX_ARGS || slot == MAX_CHILDREN) {
        return luaL_error(lua,
                          "sys.spawn: got %d arguments and %d processes, "
                          "allowed are 1 to %d and fewer than %d",
                          count, child_count, MAX_ARGS, MAX_CHILDREN);
    }
    for (int i = 0; i < count; i++) {
        args[i] = (char *)(uintptr_t)luaL_checkstring(lua, i + 2);
    }
    pid_t pid = fork();
    if (pid == 0) {
        exec_child(output, args);
    }
    if (pid < 0) {
        return luaL_error(lua, "sys.spawn: cannot fork: %s", strerror(errno));
    }
    children[slot] = pid;
    child_count = slot == child_count ? child_count + 1 : child_count;
    lua_pushinteger(lua, pid);
    return 1;
}

static int
find_child(lua_State *lua)
{
    lua_Integer pid = luaL_checkinteger(lua, 1);
    for (int i = 0; i < child_count; i++) {
        if (children[i] == pid) {
            return i;
        }
    }
    return -1;
}

/* sys.poll(pid) -> exit code, 128 + signal number, or nil while the process
 * runs or if sys.spawn did not start it */
static int
poll_child(lua_State *lua)
{
    int status;
    int index = find_child(lua);
    if (index < 0 || waitpid(children[index], &status, WNOHANG) == 0) {
        return 0;
    }
    children[index] = 0;
    lua_pushinteger(lua, WIFEXITED(status) ? WEXITSTATUS(status)
                                           : 128 + WTERMSIG(status));
    return 1;
}

/* sys.signal(pid, number). Ignored unless sys.spawn started the process. */
static int
signal_child(lua_State *lua)
{
    int index = find_child(lua);
    if (index >= 0) {
        kill(children[index], (int)luaL_checkinteger(lua, 2));
    }
    return 0;
}

/* sys.sleep_ms(ms) */
static int
sleep_ms(lua_State *lua)
{
    long ms = (long)luaL_checkinteger(lua, 1);
    struct timespec time = {ms / 1000, ms % 1000 * NS_PER_MS};
    nanosleep(&time, NULL);
    return 0;
}

/* sys.now_us() -> microseconds of CLOCK_BOOTTIME, which the upstreams'
 * journals use */
static int
now_us(lua_State *lua)
{
    struct timespec time;
    clock_gettime(CLOCK_BOOTTIME, &time);
    lua_pushinteger(lua, time.tv_sec * US_PER_S + time.tv_nsec / 1000);
    return 1;
}

static const luaL_Reg sys_functions[] = {
    {"spawn", spawn},       {"poll", poll_child}, {"signal", signal_child},
    {"sleep_ms", sleep_ms}, {"now_us", now_us},   {NULL, NULL},
};

static int
run_file(lua_State *lua, const char *file)
{
    if (luaL_dofile(lua, file) == LUA_OK) {
        return 0;
    }
    const char *text = lua_tostring(lua, -1);
    printf("%s\n", text ? text : "scenario failed without an error message");
    lua_getglobal(lua, "print_timeline");
    if (lua_isfunction(lua, -1)) {
        lua_pcall(lua, 0, 0, 0);
    }
    return -1;
}

int
main(int argc, char **argv)
{
    static const char *const globals[] = {"SCRIPT", "BUILD", "WORK",
                                          "BASE_PORT", "SEED"};
    if (argc != 7) {
        fputs("Usage: runner VERBS SCRIPT BUILD WORK BASE_PORT SEED\n",
              stderr);
        return 2;
    }
    lua_State *lua = luaL_newstate();
    if (!lua) {
        return 1;
    }
    atexit(kill_children);
    luaL_openlibs(lua);
    luaL_newlib(lua, sys_functions);
    lua_setglobal(lua, "sys");
    for (int i = 0; i < 5; i++) {
        lua_pushstring(lua, argv[i + 2]);
        lua_setglobal(lua, globals[i]);
    }
    int failed = run_file(lua, argv[1]) || run_file(lua, argv[2]);
    lua_close(lua);
    return failed ? 1 : 0;
}
