/**
 * DOC: hf-console - web console for editing the document
 *
 * Serves HTML forms on a loopback address that edit a draft of the document of
 * desired state. The draft is validated, and can be shown, saved or applied as
 * one document; there is no other output.
 */
#ifndef HF_CONSOLE_H
#define HF_CONSOLE_H

#include "hf-base.h"

/* --- public functions --- */

/* Serves the console until SIGINT or SIGTERM. Returns 0, or -1 and *error; platform_address NULL: no apply. */
int hf_console_run (const char *listen, const char *platform_address, struct hf_error *error);

#endif
