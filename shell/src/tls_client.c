#include "shell/tls_client.h"

#include <openssl/err.h>

int
Tls_Init(struct tls_client *tls)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());
    BIO *in = BIO_new(BIO_s_mem());
    BIO *out = BIO_new(BIO_s_mem());
    tls->ssl = context ? SSL_new(context) : NULL;
    SSL_CTX_free(context);
    if (!tls->ssl || !in || !out) {
        BIO_free(in);
        BIO_free(out);
        Tls_Finish(tls);
        return -1;
    }
    SSL_set_verify(tls->ssl, SSL_VERIFY_NONE, NULL);
    SSL_set_bio(tls->ssl, in, out);
    SSL_set_connect_state(tls->ssl);
    return Tls_OnReceived(tls, NULL, 0);
}

void
Tls_Finish(struct tls_client *tls)
{
    SSL_free(tls->ssl);
    tls->ssl = NULL;
}

/* True if the call that returned `outcome` can go on when more is received. */
static int
needs_input(const struct tls_client *tls, int outcome)
{
    int error = SSL_get_error(tls->ssl, outcome);
    ERR_clear_error();
    return error == SSL_ERROR_WANT_READ;
}

int
Tls_OnReceived(struct tls_client *tls, const void *data, size_t size)
{
    if (size &&
        BIO_write(SSL_get_rbio(tls->ssl), data, (int)size) != (int)size) {
        return -1;
    }
    if (SSL_is_init_finished(tls->ssl)) {
        return 0;
    }
    int outcome = SSL_do_handshake(tls->ssl);
    return outcome == 1 || needs_input(tls, outcome) ? 0 : -1;
}

int
Tls_IsReady(const struct tls_client *tls)
{
    return SSL_is_init_finished(tls->ssl);
}

int
Tls_Read(struct tls_client *tls, void *data, size_t size)
{
    int got = SSL_read(tls->ssl, data, (int)size);
    if (got > 0) {
        return got;
    }
    return needs_input(tls, got) ? 0 : -1;
}

int
Tls_Write(struct tls_client *tls, const void *data, size_t size)
{
    return SSL_write(tls->ssl, data, (int)size) == (int)size ? 0 : -1;
}

size_t
Tls_TakeOutput(struct tls_client *tls, void *data, size_t size)
{
    int got = BIO_read(SSL_get_wbio(tls->ssl), data, (int)size);
    return got > 0 ? (size_t)got : 0;
}
