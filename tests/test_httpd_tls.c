/* Requests over TLS: the server asks the socket below TLS whether a client has
 * left, reads what is pipelined or chunked as without TLS, counts what OpenSSL
 * holds, and speaks HTTP/1.1 only.
 *
 * Guards against a request that is handled after its client has left, a
 * request that stops the loop or is not read in any splitting into records,
 * and connections outside the budget. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cmocka.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>

#include "base/addr.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

#define PORT 20760
/* Time after which the test is considered hung. */
#define TIMEOUT_S 300
/* Path of the requests that show how far the server has come. */
#define PROBE "/probe"
/* Path of a request that is not answered. */
#define UNANSWERED "/unanswered"
#define POST_HTTP1                                                            \
    "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}"
#define PROBE_HTTP1 "GET " PROBE " HTTP/1.1\r\nHost: a.example\r\n\r\n"
#define CHUNKED                                                               \
    "POST /job HTTP/1.1\r\nHost: a.example\r\n"                               \
    "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"
/* Lists of protocols for ALPN: each name follows its length. */
#define HTTP1 "\x08http/1.1"
#define HTTP2 "\x02h2"
/* Bytes of an answer that does not fit the buffers of a socket. */
#define LARGE_ANSWER (8u << 20)

/* A client of the server. */
struct client {
    int fd;
    SSL *ssl;
};

static struct loop loop;
static struct httpd server;
static struct httpc http;
static struct counters counters;
static SSL_CTX *client_context;
static char listen_addr[32];
static char cert_path[sizeof(JP_BUILD_DIR) + 32];
static char key_path[sizeof(JP_BUILD_DIR) + 32];
static int handled_count;
static int bodies_read;
static int probes_answered;
static int clients_left;
static size_t answer_size = 2;

static void
on_closed(void *context, conn_id conn, const void *user)
{
    (void)context;
    (void)conn;
    (void)user;
    clients_left++;
}

static void
on_request(void *context, const struct hs_request *request)
{
    static const int is_probe = 1;
    (void)context;
    if (strcmp(request->path, UNANSWERED) == 0) {
        return;
    }
    if (strcmp(request->path, PROBE) == 0) {
        Hs_SetUser(&server, request->conn, &is_probe, sizeof(is_probe));
    }
    else {
        assert_string_equal(request->path, "/job");
        handled_count++;
        bodies_read += request->body.size == 2 &&
                       memcmp(request->body.data, "{}", 2) == 0;
    }
    char *answer = calloc(1, answer_size + 1);
    assert_non_null(answer);
    memset(answer, ' ', answer_size);
    assert_int_equal(Hs_ReplyJson(&server, request->conn, 200, answer), 0);
    free(answer);
}

static void
on_sent(void *context, conn_id conn, const void *user)
{
    int is_probe;
    (void)context;
    (void)conn;
    memcpy(&is_probe, user, sizeof(is_probe));
    probes_answered += is_probe;
}

static void
write_certificate(void)
{
    EVP_PKEY *key = EVP_RSA_gen(2048);
    X509 *cert = X509_new();
    /* Copies of this test can run at the same time. */
    snprintf(cert_path, sizeof(cert_path), JP_BUILD_DIR "/test-cert-%d.pem",
             (int)getpid());
    snprintf(key_path, sizeof(key_path), JP_BUILD_DIR "/test-key-%d.pem",
             (int)getpid());
    FILE *cert_file = fopen(cert_path, "we");
    FILE *key_file = fopen(key_path, "we");
    assert_true(key && cert && cert_file && key_file);
    X509_gmtime_adj(X509_getm_notBefore(cert), 0);
    X509_gmtime_adj(X509_getm_notAfter(cert), 86400);
    assert_int_equal(X509_set_pubkey(cert, key), 1);
    assert_true(X509_sign(cert, key, EVP_sha256()) > 0);
    assert_int_equal(PEM_write_X509(cert_file, cert), 1);
    assert_int_equal(
        PEM_write_PrivateKey(key_file, key, NULL, NULL, 0, NULL, NULL), 1);
    fclose(cert_file);
    fclose(key_file);
    X509_free(cert);
    EVP_PKEY_free(key);
}

static int
set_up(void **state)
{
    struct err err = {0};
    /* Each process has an address of its own, so that copies of this test can
     * run at the same time. */
    unsigned pid = (unsigned)getpid();
    (void)state;
    alarm(TIMEOUT_S);
    write_certificate();
    snprintf(listen_addr, sizeof(listen_addr), "127.%u.%u.%u:%d",
             1 + (pid >> 16 & 63), pid >> 8 & 255, 1 + (pid & 255) % 254,
             PORT);
    client_context = SSL_CTX_new(TLS_client_method());
    assert_non_null(client_context);
    assert_int_equal(Loop_Init(&loop, &err), 0);
    assert_int_equal(Hs_Init(&server, &loop, listen_addr, cert_path, key_path,
                             on_request, on_sent, NULL, &counters, &err),
                     0);
    server.closed = on_closed;
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    Loop_Finish(&loop);
    Hs_Finish(&server);
    Hc_Finish(&http);
    SSL_CTX_free(client_context);
    unlink(cert_path);
    unlink(key_path);
    alarm(0);
    return 0;
}

static void
connect_socket(struct client *client)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    struct timeval wait = {.tv_usec = 1000};
    char host[HS_HEADER_SIZE];
    int port;
    client->fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(client->fd >= 0);
    assert_int_equal(Addr_Split(listen_addr, host, sizeof(host), &port), 0);
    assert_int_equal(inet_pton(AF_INET, host, &addr.sin_addr), 1);
    addr.sin_port = htons((uint16_t)port);
    assert_int_equal(
        connect(client->fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
    assert_int_equal(
        setsockopt(client->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait)),
        0);
}

/* Runs the server until the handshake has ended. Returns its outcome. */
static int
shake_hands(struct client *client, const char *protocols)
{
    connect_socket(client);
    client->ssl = SSL_new(client_context);
    assert_non_null(client->ssl);
    assert_int_equal(SSL_set_alpn_protos(client->ssl,
                                         (const unsigned char *)protocols,
                                         (unsigned)strlen(protocols)),
                     0);
    assert_int_equal(SSL_set_fd(client->ssl, client->fd), 1);
    int status;
    while ((status = SSL_connect(client->ssl)) != 1) {
        if (SSL_get_error(client->ssl, status) != SSL_ERROR_WANT_READ) {
            break;
        }
        assert_true(lws_service(loop.lws, -1) >= 0);
    }
    return status;
}

static struct client
open_client(const char *protocols)
{
    struct client client;
    assert_int_equal(shake_hands(&client, protocols), 1);
    return client;
}

static void
send_bytes(struct client *client, const char *data, size_t size)
{
    assert_int_equal(SSL_write(client->ssl, data, (int)size), size);
}

static void
reset_client(struct client *client)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    assert_int_equal(
        setsockopt(client->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)),
        0);
    close(client->fd);
    SSL_free(client->ssl);
}

/* Runs the server until the requests of two clients that came later, one after
 * the other, are answered, so that all that came before has been read. */
static void
run_server(void)
{
    for (int i = 0; i < 2; i++) {
        int before = probes_answered;
        struct client client = open_client(HTTP1);
        send_bytes(&client, PROBE_HTTP1, sizeof(PROBE_HTTP1) - 1);
        while (probes_answered == before) {
            assert_true(lws_service(loop.lws, 0) >= 0);
        }
        reset_client(&client);
    }
}

/* Sends a request, and runs the server after its client has left, or before
 * that. */
static void
send_request(int leaves)
{
    struct client client = open_client(HTTP1);
    run_server();
    send_bytes(&client, POST_HTTP1, sizeof(POST_HTTP1) - 1);
    if (leaves) {
        reset_client(&client);
    }
    run_server();
    if (!leaves) {
        reset_client(&client);
    }
}

static void
a_tls_request_of_a_closed_connection_is_not_handled(void **state)
{
    uint64_t *abandoned = &counters.value[CTR_requests_abandoned];
    (void)state;
    handled_count = 0;
    *abandoned = 0;
    send_request(1);
    assert_int_equal(handled_count, 0);
    assert_int_equal(*abandoned, 1);
    send_request(0);
    assert_int_equal(handled_count, 1);
    assert_int_equal(*abandoned, 1);
}

static void
a_client_that_prefers_http2_is_served_over_http1(void **state)
{
    struct client client = open_client(HTTP2 HTTP1);
    const unsigned char *selected;
    unsigned size;
    (void)state;
    SSL_get0_alpn_selected(client.ssl, &selected, &size);
    assert_int_equal(size, HTTP1[0]);
    assert_memory_equal(selected, &HTTP1[1], size);
    handled_count = 0;
    send_bytes(&client, POST_HTTP1, sizeof(POST_HTTP1) - 1);
    run_server();
    assert_int_equal(handled_count, 1);
    reset_client(&client);
}

/* Its requests would be taken for invalid ones of HTTP/1.1. */
static void
a_client_without_http1_is_refused_in_the_handshake(void **state)
{
    struct client client;
    (void)state;
    assert_int_not_equal(shake_hands(&client, HTTP2), 1);
    assert_int_equal(ERR_GET_REASON(ERR_get_error()),
                     SSL_R_TLSV1_ALERT_NO_APPLICATION_PROTOCOL);
    reset_client(&client);
}

/* Reads until `count` answers of the usual size have arrived. */
static void
expect_answers(struct client *client, int count)
{
    char text[16384];
    size_t used = 0;
    int found = 0;
    while (found < count) {
        assert_true(lws_service(loop.lws, -1) >= 0);
        int got =
            SSL_read(client->ssl, text + used, (int)(sizeof(text) - 1 - used));
        if (got <= 0) {
            assert_int_equal(SSL_get_error(client->ssl, got),
                             SSL_ERROR_WANT_READ);
            continue;
        }
        used += (size_t)got;
        text[used] = '\0';
        found = 0;
        for (const char *at = text; (at = strstr(at, "HTTP/1.1 200")); at++) {
            found++;
        }
    }
    assert_int_equal(found, count);
}

/* GET and POST, bodies with a length and chunked ones, in one stream that is
 * split into records of each size. */
static void
pipelined_tls_requests_are_answered_in_order(void **state)
{
    static const char stream[] =
        PROBE_HTTP1 POST_HTTP1 CHUNKED PROBE_HTTP1 CHUNKED POST_HTTP1;
    (void)state;
    for (size_t piece = 1; piece < sizeof(stream); piece += piece / 8 + 1) {
        struct client client = open_client(HTTP1);
        handled_count = 0;
        bodies_read = 0;
        for (size_t sent = 0; sent < sizeof(stream) - 1; sent += piece) {
            size_t left = sizeof(stream) - 1 - sent;
            send_bytes(&client, stream + sent, left < piece ? left : piece);
        }
        expect_answers(&client, 6);
        assert_int_equal(handled_count, 4);
        assert_int_equal(bodies_read, 4);
        reset_client(&client);
    }
}

static void
a_tls_client_that_leaves_is_noticed_behind_a_second_request(void **state)
{
    static const char stream[] =
        "GET " UNANSWERED " HTTP/1.1\r\nHost: a.example\r\n\r\n" POST_HTTP1;
    struct client client = open_client(HTTP1);
    (void)state;
    handled_count = 0;
    clients_left = 0;
    send_bytes(&client, stream, sizeof(stream) - 1);
    run_server();
    assert_int_equal(clients_left, 0);
    reset_client(&client);
    run_server();
    assert_int_equal(clients_left, 1);
    assert_int_equal(handled_count, 0);
}

/* More than a connection reads ahead stays in the socket until the answer is
 * read, and none of it is lost. */
static void
requests_behind_a_large_answer_are_all_read(void **state)
{
    enum { REQUESTS = 3000 };
    static char text[65536];
    struct client client = open_client(HTTP1);
    size_t sent = 0;
    size_t got = 0;
    const size_t size = sizeof(POST_HTTP1) - 1;
    (void)state;
    handled_count = 0;
    answer_size = LARGE_ANSWER;
    send_bytes(&client, POST_HTTP1, size);
    while (handled_count < 1) {
        assert_true(lws_service(loop.lws, -1) >= 0);
    }
    answer_size = 2;
    assert_int_equal(fcntl(client.fd, F_SETFL, O_NONBLOCK), 0);
    SSL_set_mode(client.ssl, SSL_MODE_ENABLE_PARTIAL_WRITE |
                                 SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    while (handled_count < REQUESTS + 1) {
        assert_true(lws_service(loop.lws, -1) >= 0);
        if (sent < REQUESTS &&
            SSL_write(client.ssl, POST_HTTP1, (int)size) > 0) {
            sent++;
        }
        if (sent == REQUESTS || sent % 16 == 0) {
            int read = SSL_read(client.ssl, text, sizeof(text));
            got += read > 0 ? (size_t)read : 0;
        }
    }
    assert_true(got > LARGE_ANSWER);
    assert_int_equal(handled_count, REQUESTS + 1);
    reset_client(&client);
}

/* Connections that never finish their handshake, and those after it. */
static void
memory_of_tls_is_within_the_budget(void **state)
{
    enum { CLIENTS = 40 };
    struct client clients[CLIENTS];
    struct intake *intake = &loop.intake;
    uint64_t before = intake->held;
    (void)state;
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = open_client(HTTP1);
    }
    run_server();
    /* A connection has buffers and keys: some KB. */
    assert_true(intake->held - before > CLIENTS * (16u + 4u) << 10);
    uint64_t max_held = intake->max_held;
    intake->max_held = intake->held;
    run_server();
    assert_true(intake->held <= intake->max_held);
    assert_true(counters.value[CTR_connections_evicted] > 0);
    intake->max_held = max_held;
    for (int i = 0; i < CLIENTS; i++) {
        reset_client(&clients[i]);
    }
    run_server();
    assert_int_equal(intake->items <= 2, 1);
}

static int calls_ended;
static int calls_answered;

static void
on_answer(void *context, const struct hc_result *result)
{
    (void)context;
    calls_ended++;
    calls_answered += result->status == 200 && result->body.size == 2;
}

/* Two calls over one connection; the body is larger than a TLS record. */
static void
the_client_is_answered_over_tls(void **state)
{
    static char body[40000];
    struct err err = {0};
    struct hc_call call = {
        .addr = listen_addr,
        .method = "POST",
        .path = "/job",
        .body = {body, sizeof(body)},
        .timeout_ms = 60000,
        .tls = 1,
        .done = on_answer,
    };
    (void)state;
    memset(body, ' ', sizeof(body));
    handled_count = 0;
    assert_int_equal(Hc_Init(&http, &loop, 1, &err), 0);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(Hc_Call(&http, &call), 0);
        while (calls_ended == i) {
            assert_true(lws_service(loop.lws, 0) >= 0);
        }
    }
    assert_int_equal(handled_count, 2);
    assert_int_equal(calls_answered, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_tls_request_of_a_closed_connection_is_not_handled),
        cmocka_unit_test(a_client_that_prefers_http2_is_served_over_http1),
        cmocka_unit_test(a_client_without_http1_is_refused_in_the_handshake),
        cmocka_unit_test(pipelined_tls_requests_are_answered_in_order),
        cmocka_unit_test(
            a_tls_client_that_leaves_is_noticed_behind_a_second_request),
        cmocka_unit_test(requests_behind_a_large_answer_are_all_read),
        cmocka_unit_test(memory_of_tls_is_within_the_budget),
        cmocka_unit_test(the_client_is_answered_over_tls),
    };
    if (Tls_CountMemory()) {
        return 1;
    }
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
