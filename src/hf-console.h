/**
 * DOC: hf-console - a console of forms as a web page
 *
 * Edits the document of desired state on a loopback address. Its only output
 * is the one validated document, which it shows, saves or applies.
 */
#ifndef HF_CONSOLE_H
#define HF_CONSOLE_H

#include "hf-base.h"

/* --- public functions --- */

int hf_console_run (const char *listen,
                    const char *platform_address,
                    struct hf_error *error); /* until SIGINT or SIGTERM; exit code */

#endif
