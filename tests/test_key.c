/* Idempotency keys: their text form and its signature. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "wire/key.h"

static void
text_form_round_trips(void **state)
{
    (void)state;
    struct key_secret secret;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct key parsed;
    struct err err = {0};
    char text[KEY_TEXT_SIZE];
    Key_Derive(&secret, "a passphrase");
    Key_Format(&key, &secret, text);
    assert_int_equal(strlen(text), KEY_TEXT_SIZE - 1);
    assert_int_equal(text[0], 'k');
    assert_int_equal(Key_Parse(&parsed, &secret, text, &err), 0);
    assert_true(Key_Equal(&key, &parsed));
}

static void
changed_text_is_rejected(void **state)
{
    (void)state;
    struct key_secret secret;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct key parsed;
    char text[KEY_TEXT_SIZE];
    Key_Derive(&secret, "a passphrase");
    Key_Format(&key, &secret, text);
    for (size_t i = 0; i < strlen(text) - 1; i++) {
        struct err err = {0};
        char original = text[i];
        text[i] = original == 'A' ? 'B' : 'A';
        assert_int_equal(Key_Parse(&parsed, &secret, text, &err), -1);
        assert_int_equal(err.code, CODE_BAD_KEY);
        text[i] = original;
    }
}

static void
key_signed_with_other_secret_is_rejected(void **state)
{
    (void)state;
    struct key_secret ours;
    struct key_secret other;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct err err = {0};
    char text[KEY_TEXT_SIZE];
    Key_Derive(&ours, "a passphrase");
    Key_Derive(&other, "another one");
    Key_Format(&key, &other, text);
    assert_int_equal(Key_Parse(&key, &ours, text, &err), -1);
    assert_int_equal(err.code, CODE_BAD_KEY);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(text_form_round_trips),
        cmocka_unit_test(changed_text_is_rejected),
        cmocka_unit_test(key_signed_with_other_secret_is_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
