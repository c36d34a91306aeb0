/* Keys: text form, signature. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "wire/key.h"

static void
text_form_gives_the_same_key(void **state)
{
    (void)state;
    struct key_secret secret;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct key back;
    struct err err = {0};
    char text[KEY_TEXT_SIZE];
    Key_Derive(&secret, "a passphrase");
    Key_Format(&key, &secret, text);
    assert_int_equal(strlen(text), KEY_TEXT_SIZE - 1);
    assert_int_equal(text[0], 'k');
    assert_int_equal(Key_Parse(&back, &secret, text, &err), 0);
    assert_true(Key_Equal(&key, &back));
}

static void
changed_text_is_refused(void **state)
{
    (void)state;
    struct key_secret secret;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct key back;
    char text[KEY_TEXT_SIZE];
    Key_Derive(&secret, "a passphrase");
    Key_Format(&key, &secret, text);
    for (size_t i = 0; i < strlen(text) - 1; i++) {
        struct err err = {0};
        char was = text[i];
        text[i] = was == 'A' ? 'B' : 'A';
        assert_int_equal(Key_Parse(&back, &secret, text, &err), -1);
        assert_int_equal(err.code, CODE_BAD_KEY);
        text[i] = was;
    }
}

static void
key_of_another_secret_is_refused(void **state)
{
    (void)state;
    struct key_secret ours;
    struct key_secret theirs;
    struct key key = {
        .issuer = 7, .registry_version = 9, .seq = 3, .issued_s = 100};
    struct err err = {0};
    char text[KEY_TEXT_SIZE];
    Key_Derive(&ours, "a passphrase");
    Key_Derive(&theirs, "another one");
    Key_Format(&key, &theirs, text);
    assert_int_equal(Key_Parse(&key, &ours, text, &err), -1);
    assert_int_equal(err.code, CODE_BAD_KEY);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(text_form_gives_the_same_key),
        cmocka_unit_test(changed_text_is_refused),
        cmocka_unit_test(key_of_another_secret_is_refused),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
