/** @file
 * TLS connections whose bytes the caller transfers. */
#ifndef SHELL_TLS_H
#define SHELL_TLS_H

#include <stddef.h>

#include <openssl/ssl.h>

#include "base/err.h"

/** Bytes that are best passed to Tls_OnReceived() or Tls_Write() at a time: an
 * idle connection keeps buffers for the most that it was given at once. */
#define TLS_PIECE (4u << 10)

/** A TLS connection. */
struct tls {
    SSL *ssl;   /**< NULL before the first call and after Tls_Finish(). */
    long bytes; /**< Memory that OpenSSL has allocated for it; 0 without
                     Tls_CountMemory(). */
};

/** Counts the memory of each connection from now on. To be called before any
 * other use of OpenSSL in the process. Returns -1 if it is too late. */
int Tls_CountMemory(void);

/** Begins the handshake as a client. Any certificate of the server is
 * accepted. Returns -1 on failure. */
int Tls_Connect(struct tls *tls);

/** Reads a server's certificate chain and private key, both PEM files. Clients
 * can choose HTTP/1.1 by ALPN, and no other protocol. Returns NULL on failure,
 * with CODE_BAD_SETTING or CODE_NO_MEMORY. Freed by SSL_CTX_free(). */
SSL_CTX *Tls_LoadServer(const char *certificate, const char *key,
                        struct err *err);

/** Begins the handshake as a server. Returns -1 if there is no memory. */
int Tls_Accept(struct tls *tls, SSL_CTX *server);

/** Frees the connection; may be called more than once. */
void Tls_Finish(struct tls *tls);

/** Passes on `size` bytes that were received from the other side. Returns -1
 * if the handshake has failed. */
int Tls_OnReceived(struct tls *tls, const void *data, size_t size);

/** True after the handshake. */
int Tls_IsReady(const struct tls *tls);

/** Reads at most `size` bytes of what the other side has written into `data`.
 * Returns their number, 0 if there are none yet, or -1 at the end. */
int Tls_Read(struct tls *tls, void *data, size_t size);

/** Writes `size` bytes for the other side. Returns -1 on failure. */
int Tls_Write(struct tls *tls, const void *data, size_t size);

/** Ends what is written for the other side. */
void Tls_Shutdown(struct tls *tls);

/** Copies at most `size` bytes that are to be sent to the other side into
 * `data`. Returns their number. */
size_t Tls_TakeOutput(struct tls *tls, void *data, size_t size);

#endif
