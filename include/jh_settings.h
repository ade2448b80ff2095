#ifndef JH_SETTINGS_H
#define JH_SETTINGS_H

#include "jh_error.h"

#include <stdint.h>

/** JH_CLUSTER_KEY_BYTES - length of the secret that all daemons share */
#define JH_CLUSTER_KEY_BYTES 32

/**
 * struct jh_address - an IP address and a port
 * @host: numeric IP address; owned
 * @port: TCP port; 0 lets the system choose
 */
typedef struct jh_address {
	char *host;
	uint16_t port;
} jh_address_t;

/**
 * struct jh_settings - what a daemon is told at its start
 * @vm: name of this VM
 * @dc: its data centre
 * @listen: where callers connect
 * @peer_listen: where other daemons connect
 * @platform_url: base URL of the platform's table service and object store
 * @cluster_key: seals session tokens and proves peers to each other; never logged
 * @max_callers: most client connections
 * @record_limit_bytes: most memory for records that the platform has not taken yet
 * @drain_ms: longest time a graceful shutdown waits for work in hand
 * @log_level: "error", "warning", "info" or "debug"
 * @profile: "postgresql" or "fleet"
 * @ready_listen: where the balancer asks whether this VM takes sessions (fleet)
 * @control_url: base URL of the platform's interface for promotions (fleet)
 */
typedef struct jh_settings {
	char *vm;
	char *dc;
	jh_address_t listen;
	jh_address_t peer_listen;
	char *platform_url;
	uint8_t cluster_key[JH_CLUSTER_KEY_BYTES];
	int max_callers;
	int64_t record_limit_bytes;
	int drain_ms;
	char *log_level;
	char *profile;
	jh_address_t ready_listen;
	char *control_url;
} jh_settings_t;

/** enum jh_settings_result - what the command line asked for */
typedef enum jh_settings_result {
	JH_SETTINGS_RUN,
	/** @JH_SETTINGS_EXIT: --help, --version or --check was served; exit with status 0 */
	JH_SETTINGS_EXIT,
} jh_settings_result_t;

/**
 * jh_settings_parse() - read flags, then environment variables for what no flag gave
 *
 * Every bad setting is reported as a finding whose place is the flag or variable.
 *
 * Return: a jh_settings_result_t, or -1 with findings in @err
 */
int jh_settings_parse(jh_settings_t *settings, int argc, const char **argv, jh_error_t *err);

/** jh_address_parse() - parse "IP:PORT" or "[IPv6]:PORT". Return: 0, or -1 with a finding */
int jh_address_parse(jh_address_t *address, const char *text, const char *place, jh_error_t *err);

/** jh_settings_clear() - free what the settings hold and wipe the key */
void jh_settings_clear(jh_settings_t *settings);

#endif
