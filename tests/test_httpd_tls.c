/* Requests over TLS whose client has left before they are read: the server
 * asks the socket below TLS, and below a stream of HTTP/2. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cmocka.h>
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
#define POST_HTTP1                                                            \
    "POST /job HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}"
#define PROBE_HTTP1 "GET " PROBE " HTTP/1.1\r\nHost: a.example\r\n\r\n"
#define BEGIN_HTTP2                                                           \
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"                                        \
    "\0\0\0\4\0\0\0\0\0"
/* A GET of /job as stream 1: the fields :method, :scheme, :path and
 * :authority. */
#define GET_HTTP2                                                             \
    "\0\0\x11\1\5\0\0\0\1"                                                    \
    "\x82\x87\x04\x04/job\x41\x07"                                            \
    "example"

/* What a client sends in one of the protocols of ALPN, whose length comes
 * first. */
struct dialogue {
    const char *protocol;
    const char *begin;
    size_t begin_size;
    const char *request;
    size_t request_size;
};

static const struct dialogue http1 = {"\x08http/1.1", "", 0, POST_HTTP1,
                                      sizeof(POST_HTTP1) - 1};
static const struct dialogue http2 = {"\x02h2", BEGIN_HTTP2,
                                      sizeof(BEGIN_HTTP2) - 1, GET_HTTP2,
                                      sizeof(GET_HTTP2) - 1};

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
static int probes_answered;

static void
on_request(void *context, const struct hs_request *request)
{
    static const int is_probe = 1;
    (void)context;
    if (strcmp(request->path, PROBE) == 0) {
        Hs_SetUser(&server, request->conn, &is_probe, sizeof(is_probe));
    }
    else {
        assert_string_equal(request->path, "/job");
        handled_count++;
    }
    assert_int_equal(Hs_ReplyJson(&server, request->conn, 200, "{}"), 0);
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

static struct client
open_client(const char *protocol)
{
    struct client client;
    connect_socket(&client);
    client.ssl = SSL_new(client_context);
    assert_non_null(client.ssl);
    assert_int_equal(SSL_set_alpn_protos(client.ssl,
                                         (const unsigned char *)protocol,
                                         (unsigned)strlen(protocol)),
                     0);
    assert_int_equal(SSL_set_fd(client.ssl, client.fd), 1);
    int status;
    while ((status = SSL_connect(client.ssl)) != 1) {
        assert_int_equal(SSL_get_error(client.ssl, status),
                         SSL_ERROR_WANT_READ);
        assert_true(lws_service(loop.lws, -1) >= 0);
    }
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
        struct client client = open_client("\x08http/1.1");
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
send_request(const struct dialogue *dialogue, int leaves)
{
    struct client client = open_client(dialogue->protocol);
    const unsigned char *selected;
    unsigned size;
    SSL_get0_alpn_selected(client.ssl, &selected, &size);
    assert_int_equal(size, dialogue->protocol[0]);
    assert_memory_equal(selected, dialogue->protocol + 1, size);
    if (dialogue->begin_size) {
        send_bytes(&client, dialogue->begin, dialogue->begin_size);
    }
    run_server();
    send_bytes(&client, dialogue->request, dialogue->request_size);
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
    send_request(&http1, 1);
    assert_int_equal(handled_count, 0);
    assert_int_equal(*abandoned, 1);
    send_request(&http1, 0);
    assert_int_equal(handled_count, 1);
    assert_int_equal(*abandoned, 1);
}

/* libwebsockets hands a request of HTTP/2 over in a later iteration, before
 * which it may have seen the reset itself. */
static void
an_http2_request_of_a_closed_connection_is_not_handled(void **state)
{
    (void)state;
    handled_count = 0;
    send_request(&http2, 1);
    assert_int_equal(handled_count, 0);
    send_request(&http2, 0);
    assert_int_equal(handled_count, 1);
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
        cmocka_unit_test(
            an_http2_request_of_a_closed_connection_is_not_handled),
        cmocka_unit_test(the_client_is_answered_over_tls),
    };
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
