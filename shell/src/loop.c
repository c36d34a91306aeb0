#include "shell/loop.h"

#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"

/* Time after which lws gives up waiting for an answer. Its default of 5 s
 * would cut off longer calls; each call has a shorter timeout of its own. */
#define LWS_TIMEOUT_S 7200
/* Bytes of all headers of a request. */
#define MAX_HEADER_BYTES 16384u
/* Part of the memory for clients' bodies that answers to our own calls may
 * take. */
#define REPLY_PART 2

static int
on_timer(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    struct loop_timer *timer = wsi ? lws_get_opaque_user_data(wsi) : NULL;
    uint64_t expirations;
    (void)user;
    (void)in;
    (void)size;
    if (reason == LWS_CALLBACK_RAW_RX_FILE && timer &&
        read(timer->fd, &expirations, sizeof(expirations)) > 0) {
        timer->fire(timer->context);
    }
    return 0;
}

static const struct lws_protocols protocols[] = {
    {"timer", on_timer, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

static int
create_timer_vhost(struct loop *loop)
{
    struct lws_context_creation_info info = {0};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "timers";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.protocols = protocols;
    loop->timer_vhost = lws_create_vhost(loop->lws, &info);
    return loop->timer_vhost ? 0 : -1;
}

int
Loop_Init(struct loop *loop, struct err *err)
{
    struct lws_context_creation_info info = {0};
    memset(loop, 0, sizeof(*loop));
    Loop_SetLimits(loop, 0, 0);
    lws_set_log_level(LLL_ERR, NULL);
    info.options =
        LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.pt_serv_buf_size = 32 * 1024;
    info.max_http_header_data2 = MAX_HEADER_BYTES;
    info.timeout_secs = LWS_TIMEOUT_S;
    loop->lws = lws_create_context(&info);
    if (!loop->lws || create_timer_vhost(loop)) {
        return Err_Set(err, CODE_SYSTEM, "cannot create the event loop");
    }
    return 0;
}

void
Loop_SetLimits(struct loop *loop, uint64_t memory_mb, uint64_t descriptors)
{
    Intake_Init(&loop->intake, memory_mb, descriptors);
    Intake_InitPart(&loop->replies, &loop->intake, 1, REPLY_PART);
    loop->replies.keeps_equal = 1;
}

void
Loop_Finish(struct loop *loop)
{
    lws_context_destroy(loop->lws);
    loop->lws = NULL;
}

void
Loop_Run(struct loop *loop)
{
    Log_EnableBuffering();
    while (!loop->stopping && lws_service(loop->lws, 0) >= 0) {
        if (loop->flush) {
            loop->flush(loop->flush_context);
        }
        Log_Flush();
    }
}

void
Loop_Stop(struct loop *loop)
{
    loop->stopping = 1;
    lws_cancel_service(loop->lws);
}

void
Loop_OnFlush(struct loop *loop, loop_flush *flush, void *context)
{
    loop->flush = flush;
    loop->flush_context = context;
}

struct now
Loop_Now(void)
{
    struct timespec mono;
    struct timespec wall;
    clock_gettime(CLOCK_BOOTTIME, &mono);
    clock_gettime(CLOCK_REALTIME, &wall);
    struct now now = {
        .us = (uint64_t)mono.tv_sec * US_PER_S + (uint64_t)mono.tv_nsec / 1000,
        .wall = (uint32_t)wall.tv_sec,
    };
    return now;
}

/* Uses a timerfd, as a timer of lws busy-loops through the last millisecond
 * before it is due: lws passes poll() a timeout in whole milliseconds. */
int
Loop_Every(struct loop *loop, struct loop_timer *timer, uint64_t period_us,
           void (*fire)(void *context), void *context)
{
    struct itimerspec spec = {0};
    lws_sock_file_fd_type fd;
    timer->fire = fire;
    timer->context = context;
    timer->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    fd.filefd = timer->fd;
    struct lws *wsi = lws_adopt_descriptor_vhost(
        loop->timer_vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "timer", NULL);
    if (timer->fd < 0 || !wsi) {
        return -1;
    }
    lws_set_opaque_user_data(wsi, timer);
    spec.it_interval.tv_sec = (time_t)(period_us / US_PER_S);
    spec.it_interval.tv_nsec = (long)(period_us % US_PER_S) * 1000;
    spec.it_value = spec.it_interval;
    return timerfd_settime(timer->fd, 0, &spec, NULL);
}
