#ifndef JH_SETTINGS_H
#define JH_SETTINGS_H

#include "jh_error.h"

#include <stdint.h>

/**
 * DOC: Settings of a daemon
 *
 * Reads the settings of one daemon from its command line and its environment and checks them. They
 * do not change while the daemon runs. Configuration that a fleet shares is in jh_config.h.
 */

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
 * struct jh_settings - the settings of one daemon; all strings are owned
 * @vm: name of this VM
 * @dc: data centre of this VM
 * @listen: address to which callers connect
 * @peer_listen: address to which other daemons connect
 * @platform_url: base URL of the platform's table service and object store
 * @cluster_key: secret that authenticates session tokens and peers; never logged
 * @max_callers: limit on client connections
 * @record_limit_bytes: limit on memory for record lines that are not in the object store yet
 * @config_bound_ms: time within which a changed configuration must be in force here, milliseconds;
 *a VM that has known of a newer one for longer than that refuses callers (fleet)
 * @member_drain_ms: a database gets no new work later than this after it has said that it leaves,
 *	milliseconds (fleet)
 * @drain_ms: limit on the time that a graceful shutdown waits for work in progress, milliseconds
 * @log_level: "error", "warning", "notice", "info" or "debug"
 * @profile: "postgresql" or "fleet"
 * @ready_listen: HTTP address for the load balancer's health checks and for metrics (fleet profile)
 * @control_url: base URL of the platform's interface for promotions (fleet profile)
 * @dc_regions: regions of the data centres, as jh_topology_new() reads them (fleet)
 * @cpu_share: share of a processor core that this VM has (fleet)
 * @link_mbps: bandwidth of this VM's network link, Mbit/s (fleet)
 * @dc_drain_ms: a database gets nothing more later than this after the drain of its data centre was
 *	requested, milliseconds (fleet)
 * @cold_excess: factor on the rate of a database that has just started, by which the platform
 *	tolerates more (fleet)
 * @cold_slack: requests in a second that the platform tolerates on top of that (fleet)
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
	int config_bound_ms;
	int member_drain_ms;
	int drain_ms;
	char *log_level;
	char *profile;
	jh_address_t ready_listen;
	char *control_url;
	char *dc_regions;
	double cpu_share;
	double link_mbps;
	int dc_drain_ms;
	double cold_excess;
	int cold_slack;
} jh_settings_t;

/** enum jh_settings_result - what the program is to do after the settings were parsed */
typedef enum jh_settings_result {
	/** @JH_SETTINGS_RUN: run the daemon */
	JH_SETTINGS_RUN,
	/** @JH_SETTINGS_EXIT: exit with status 0; --help, --version or --check is done */
	JH_SETTINGS_EXIT,
} jh_settings_result_t;

/**
 * jh_settings_parse() - parse the command line and the environment
 * @settings: overwritten; must be freed by jh_settings_clear(), also after a failure
 * @argc: number of arguments
 * @argv: arguments, the program's name first
 * @err: gets a finding for each invalid or missing setting, whose place is the flag or variable;
 *	must be unset before
 *
 * A flag takes precedence over its environment variable, which takes precedence over the default.
 * Prints to standard output for --help, --version and --check.
 *
 * Return: a jh_settings_result_t, or -1 with findings in @err
 */
int jh_settings_parse(jh_settings_t *settings, int argc, const char **argv, jh_error_t *err);

/**
 * jh_address_parse() - parse "IP:PORT" or "[IPv6]:PORT"
 * @address: gets a new host; unchanged after a failure
 * @text: the text to parse
 * @place: place of a finding
 * @err: gets a finding if @text is not an address
 *
 * Return: 0, or -1 with a finding in @err
 */
int jh_address_parse(jh_address_t *address, const char *text, const char *place, jh_error_t *err);

/** jh_settings_clear() - free the strings and overwrite the key; @settings itself is not freed */
void jh_settings_clear(jh_settings_t *settings);

#endif
