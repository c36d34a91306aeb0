/* Fuzzes the parsers of rows of the table service. The first byte selects a
 * member, the configuration, a configuration change or the operations of a
 * change; the rest is JSON. A parsed configuration or change is also
 * written. */
#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "shell/config_json.h"
#include "shell/registry.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct config config;
    static struct cj_change change;
    struct ent_member member;
    struct err err = {0};
    if (size < 1) {
        return 0;
    }
    json_t *root =
        json_loadb((const char *)data + 1, size - 1, JSON_DECODE_ANY, NULL);
    if (!root) {
        return 0;
    }
    memset(&change, 0, sizeof(change));
    switch (data[0] % 4) {
    case 0:
        Reg_ReadMember(&member, REG_PREFIX "node", root, 1);
        break;
    case 1:
        if (Cj_Read(&config, root, &err) == 0) {
            json_decref(Cj_Write(&config, 1));
        }
        break;
    case 2:
        if (Cj_ReadChange(&change, root, &err) == 0) {
            json_decref(Cj_WriteChange(&change, 1));
        }
        break;
    default:
        Cj_ReadOps(&change, root, 1, &err);
        break;
    }
    json_decref(root);
    return 0;
}
