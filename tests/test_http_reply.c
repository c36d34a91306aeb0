/* Responses that the HTTP client reads, whole and byte by byte. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "shell/http_reply.h"

/* Reads `text` in parts of `part` bytes; returns the number of bytes used. */
static size_t
read_parts(struct hr_reader *reader, const char *text, size_t part)
{
    size_t size = strlen(text);
    size_t used = 0;
    Hr_Init(reader);
    while (used < size) {
        size_t next = size - used < part ? size - used : part;
        size_t taken = Hr_Read(reader, text + used, next);
        used += taken;
        if (taken < next) {
            break;
        }
    }
    return used;
}

static void
assert_reply(const char *text, int status, const char *body, int is_persistent)
{
    struct hr_reader reader;
    for (size_t part = 1; part <= strlen(text); part++) {
        assert_int_equal(read_parts(&reader, text, part), strlen(text));
        assert_int_equal(reader.state, HR_COMPLETE);
        assert_int_equal(reader.status, status);
        assert_int_equal(reader.is_persistent, is_persistent);
        assert_int_equal(reader.body_size, strlen(body));
        if (reader.body_size) {
            assert_memory_equal(reader.body, body, strlen(body));
        }
        Hr_Finish(&reader);
    }
}

static void
assert_state(const char *text, enum hr_state state)
{
    struct hr_reader reader;
    read_parts(&reader, text, strlen(text));
    assert_int_equal(reader.state, state);
    Hr_Finish(&reader);
}

static void
a_length_ends_the_body(void **state)
{
    (void)state;
    assert_reply("HTTP/1.1 200 OK\r\ncontent-LENGTH:  2 \r\nA: b\r\n\r\n{}",
                 200, "{}", 1);
    assert_reply("HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", 404, "", 1);
    assert_reply("HTTP/1.1 503 Service Unavailable\nContent-Length: 1\n\nx",
                 503, "x", 1);
}

static void
bytes_behind_the_end_are_not_used(void **state)
{
    struct hr_reader reader;
    static const char text[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1";
    (void)state;
    assert_int_equal(read_parts(&reader, text, sizeof(text)),
                     sizeof(text) - 1 - strlen("HTTP/1.1"));
    assert_int_equal(reader.state, HR_COMPLETE);
    Hr_Finish(&reader);
}

static void
chunks_are_joined(void **state)
{
    (void)state;
    assert_reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                 "3\r\n{\"a\r\nA;x=y\r\n\":\"0123456\r\n2 \r\n\"}\r\n"
                 "0\r\nEtag: 1\r\n\r\n",
                 200, "{\"a\":\"0123456\"}", 1);
}

static void
interim_responses_are_skipped(void **state)
{
    (void)state;
    assert_reply("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
                 "Content-Length: 7\r\n\r\n"
                 "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\n1",
                 201, "1", 1);
}

static void
some_responses_have_no_body(void **state)
{
    (void)state;
    assert_reply("HTTP/1.1 204 No Content\r\n\r\n", 204, "", 1);
    assert_reply("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304,
                 "", 1);
}

static void
the_server_may_close_the_connection(void **state)
{
    (void)state;
    assert_reply("HTTP/1.1 200 OK\r\nConnection: Close\r\n"
                 "Content-Length: 2\r\n\r\n{}",
                 200, "{}", 0);
    assert_reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", 200, "{}",
                 0);
}

static void
the_end_of_the_connection_ends_a_body_without_length(void **state)
{
    struct hr_reader reader;
    (void)state;
    read_parts(&reader, "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}", 3);
    assert_int_equal(reader.state, HR_BODY_TO_CLOSE);
    assert_int_equal(Hr_OnClose(&reader), 0);
    assert_int_equal(reader.body_size, 7);
    assert_int_equal(reader.is_persistent, 0);
    Hr_Finish(&reader);
}

static void
a_part_of_a_response_is_not_complete(void **state)
{
    static const char text[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    struct hr_reader reader;
    (void)state;
    for (size_t size = 0; size < sizeof(text) - 1; size++) {
        Hr_Init(&reader);
        assert_int_equal(Hr_Read(&reader, text, size), size);
        assert_int_equal(Hr_OnClose(&reader), -1);
        Hr_Finish(&reader);
    }
}

static void
what_is_not_http_is_invalid(void **state)
{
    static const char *const texts[] = {
        "SSH-2.0-server\r\n",
        "HTTP/2 200\r\n",
        "HTTP/1.1 20\r\n",
        "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 099 OK\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: \r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 16777217\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naa\r\n",
    };
    (void)state;
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        assert_state(texts[i], HR_INVALID);
    }
}

static void
a_head_has_a_limit(void **state)
{
    struct hr_reader reader;
    static const char header[] = "A: 0123456789012345678901234567890123\r\n";
    int lines = 0;
    (void)state;
    read_parts(&reader, "HTTP/1.1 200 OK\r\n", 99);
    while (reader.state == HR_HEADER) {
        Hr_Read(&reader, header, sizeof(header) - 1);
        assert_true(lines++ < 10000);
    }
    assert_int_equal(reader.state, HR_INVALID);
    Hr_Finish(&reader);
}

static void
a_long_line_is_no_other_header(void **state)
{
    char cookie[600];
    char text[1024];
    (void)state;
    memset(cookie, 'x', sizeof(cookie) - 1);
    cookie[sizeof(cookie) - 1] = '\0';
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nCookie: %s\r\nContent-Length: 2\r\n\r\n{}",
             cookie);
    assert_reply(text, 200, "{}", 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_length_ends_the_body),
        cmocka_unit_test(bytes_behind_the_end_are_not_used),
        cmocka_unit_test(chunks_are_joined),
        cmocka_unit_test(interim_responses_are_skipped),
        cmocka_unit_test(some_responses_have_no_body),
        cmocka_unit_test(the_server_may_close_the_connection),
        cmocka_unit_test(the_end_of_the_connection_ends_a_body_without_length),
        cmocka_unit_test(a_part_of_a_response_is_not_complete),
        cmocka_unit_test(what_is_not_http_is_invalid),
        cmocka_unit_test(a_head_has_a_limit),
        cmocka_unit_test(a_long_line_is_no_other_header),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
