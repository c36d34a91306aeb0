/** @file
 * Client side of a TLS connection whose bytes the caller transfers. Any
 * certificate of the server is accepted. */
#ifndef SHELL_TLS_CLIENT_H
#define SHELL_TLS_CLIENT_H

#include <stddef.h>

#include <openssl/ssl.h>

/** A TLS connection. */
struct tls_client {
    SSL *ssl; /**< NULL before Tls_Init() and after Tls_Finish(). */
};

/** Begins the handshake. Returns -1 on failure. */
int Tls_Init(struct tls_client *tls);

/** Frees the connection; may be called more than once. */
void Tls_Finish(struct tls_client *tls);

/** Passes on `size` bytes that were received from the server. Returns -1 if
 * the handshake has failed. */
int Tls_OnReceived(struct tls_client *tls, const void *data, size_t size);

/** True after the handshake. */
int Tls_IsReady(const struct tls_client *tls);

/** Reads at most `size` bytes of what the server has written into `data`.
 * Returns their number, 0 if there are none yet, or -1 at the end. */
int Tls_Read(struct tls_client *tls, void *data, size_t size);

/** Writes `size` bytes for the server. Returns -1 on failure. */
int Tls_Write(struct tls_client *tls, const void *data, size_t size);

/** Copies at most `size` bytes that are to be sent to the server into `data`.
 * Returns their number. */
size_t Tls_TakeOutput(struct tls_client *tls, void *data, size_t size);

#endif
