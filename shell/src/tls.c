#include "shell/tls.h"

#include <malloc.h>
#include <openssl/crypto.h>
#include <openssl/err.h>
#include <stdlib.h>

/* Length and name of the protocol that ALPN may select. */
static const unsigned char http_protocol[] = "\x08http/1.1";

/* Memory that OpenSSL holds for the current thread's calls. */
static _Thread_local long allocated;

static void *
count_malloc(size_t size, const char *file, int line)
{
    void *block = malloc(size);
    (void)file;
    (void)line;
    allocated += (long)malloc_usable_size(block);
    return block;
}

static void *
count_realloc(void *block, size_t size, const char *file, int line)
{
    long before = (long)malloc_usable_size(block);
    void *moved = realloc(block, size);
    (void)file;
    (void)line;
    if (moved || size == 0) {
        allocated += (long)malloc_usable_size(moved) - before;
    }
    return moved;
}

static void
count_free(void *block, const char *file, int line)
{
    (void)file;
    (void)line;
    allocated -= (long)malloc_usable_size(block);
    free(block);
}

int
Tls_CountMemory(void)
{
    return CRYPTO_set_mem_functions(count_malloc, count_realloc, count_free)
               ? 0
               : -1;
}

/* Adds what was allocated since `before` to the connection. */
static void
add_allocated(struct tls *tls, long before)
{
    tls->bytes += allocated - before;
}

static int
open_connection(struct tls *tls, SSL_CTX *context)
{
    BIO *in = BIO_new(BIO_s_mem());
    BIO *out = BIO_new(BIO_s_mem());
    tls->ssl = context ? SSL_new(context) : NULL;
    if (!tls->ssl || !in || !out) {
        BIO_free(in);
        BIO_free(out);
        SSL_free(tls->ssl);
        tls->ssl = NULL;
        return -1;
    }
    SSL_set_bio(tls->ssl, in, out);
    return 0;
}

int
Tls_Connect(struct tls *tls)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());
    tls->bytes = 0;
    int status = open_connection(tls, context);
    SSL_CTX_free(context);
    if (status) {
        return -1;
    }
    SSL_set_verify(tls->ssl, SSL_VERIFY_NONE, NULL);
    SSL_set_connect_state(tls->ssl);
    return Tls_OnReceived(tls, NULL, 0);
}

static int
select_protocol(SSL *ssl, const unsigned char **out, unsigned char *size,
                const unsigned char *offered, unsigned offered_size,
                void *context)
{
    unsigned char *selected;
    (void)ssl;
    (void)context;
    if (SSL_select_next_proto(&selected, size, http_protocol,
                              sizeof(http_protocol) - 1, offered,
                              offered_size) != OPENSSL_NPN_NEGOTIATED) {
        return SSL_TLSEXT_ERR_ALERT_FATAL;
    }
    *out = selected;
    return SSL_TLSEXT_ERR_OK;
}

static int
load_files(SSL_CTX *server, const char *certificate, const char *key,
           struct err *err)
{
    if (SSL_CTX_use_certificate_chain_file(server, certificate) != 1) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "tls_certificate: found \"%s\", which cannot be read "
                       "(%s), allowed is a PEM file of a certificate chain",
                       certificate, ERR_reason_error_string(ERR_get_error()));
    }
    if (SSL_CTX_use_PrivateKey_file(server, key, SSL_FILETYPE_PEM) != 1) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "tls_key: found \"%s\", which cannot be used (%s), "
                       "allowed is a PEM file of the certificate's key",
                       key, ERR_reason_error_string(ERR_get_error()));
    }
    return 0;
}

SSL_CTX *
Tls_LoadServer(const char *certificate, const char *key, struct err *err)
{
    SSL_CTX *server = SSL_CTX_new(TLS_server_method());
    if (!server ||
        SSL_CTX_set_min_proto_version(server, TLS1_2_VERSION) != 1) {
        Err_Set(err, CODE_NO_MEMORY, "no memory for the TLS server");
    }
    else if (load_files(server, certificate, key, err) == 0) {
        /* Each of these would hold memory for a client that is idle, or let
         * it cause work after the handshake. */
        SSL_CTX_set_mode(server, SSL_MODE_RELEASE_BUFFERS);
        SSL_CTX_set_max_send_fragment(server, TLS_PIECE);
        SSL_CTX_set_session_cache_mode(server, SSL_SESS_CACHE_OFF);
        SSL_CTX_set_options(server, SSL_OP_NO_RENEGOTIATION);
        SSL_CTX_set_alpn_select_cb(server, select_protocol, NULL);
        return server;
    }
    ERR_clear_error();
    SSL_CTX_free(server);
    return NULL;
}

int
Tls_Accept(struct tls *tls, SSL_CTX *server)
{
    long before = allocated;
    tls->bytes = 0;
    if (open_connection(tls, server)) {
        return -1;
    }
    SSL_set_accept_state(tls->ssl);
    add_allocated(tls, before);
    return 0;
}

void
Tls_Finish(struct tls *tls)
{
    SSL_free(tls->ssl);
    tls->ssl = NULL;
    tls->bytes = 0;
}

/* True if the call that returned `outcome` can go on when more is received. */
static int
needs_input(const struct tls *tls, int outcome)
{
    int error = SSL_get_error(tls->ssl, outcome);
    ERR_clear_error();
    return error == SSL_ERROR_WANT_READ;
}

static int
shake_hands(struct tls *tls)
{
    int outcome = SSL_do_handshake(tls->ssl);
    return outcome == 1 || needs_input(tls, outcome) ? 0 : -1;
}

int
Tls_OnReceived(struct tls *tls, const void *data, size_t size)
{
    long before = allocated;
    int status = 0;
    if (size &&
        BIO_write(SSL_get_rbio(tls->ssl), data, (int)size) != (int)size) {
        status = -1;
    }
    else if (!SSL_is_init_finished(tls->ssl)) {
        status = shake_hands(tls);
    }
    add_allocated(tls, before);
    return status;
}

int
Tls_IsReady(const struct tls *tls)
{
    return SSL_is_init_finished(tls->ssl);
}

int
Tls_Read(struct tls *tls, void *data, size_t size)
{
    long before = allocated;
    int got = SSL_read(tls->ssl, data, (int)size);
    if (got <= 0) {
        got = needs_input(tls, got) ? 0 : -1;
    }
    add_allocated(tls, before);
    return got;
}

int
Tls_Write(struct tls *tls, const void *data, size_t size)
{
    long before = allocated;
    int status = SSL_write(tls->ssl, data, (int)size) == (int)size ? 0 : -1;
    ERR_clear_error();
    add_allocated(tls, before);
    return status;
}

void
Tls_Shutdown(struct tls *tls)
{
    SSL_shutdown(tls->ssl);
    ERR_clear_error();
}

size_t
Tls_TakeOutput(struct tls *tls, void *data, size_t size)
{
    int got = BIO_read(SSL_get_wbio(tls->ssl), data, (int)size);
    return got > 0 ? (size_t)got : 0;
}
