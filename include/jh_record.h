#ifndef JH_RECORD_H
#define JH_RECORD_H

#include "jh_table.h"
#include "jh_view.h"

/**
 * DOC: The audit record
 *
 * The audit record has one line for each response. A VM numbers its own lines (jh_record_log_t) and
 * copies each line to a backup VM (jh_record_backup_t) before the response is released. The VM puts
 * its lines into the object store in batches; if the VM is lost, the backup VM stores them instead.
 *
 * Both types are pure state machines: they do no I/O and read no clock. They append actions to a
 * GArray of jh_record_action_t, which the caller runs in order. Every @now_us is monotonic time in
 * microseconds. See docs/internals/record.md.
 */

/** JH_RECORD_PREFIX - prefix of the object names of all batches */
#define JH_RECORD_PREFIX "records/"

/**
 * enum jh_record_action_kind - what the caller has to do
 *
 * Each kind lists the fields of struct jh_record_action that it uses.
 */
typedef enum jh_record_action_kind {
	/**
	 * @JH_RECORD_SEND_PUT: send RecordPut to @vm: @author, @boot, @sequence, @line, @flushed
	 */
	JH_RECORD_SEND_PUT,
	/** @JH_RECORD_SEND_ACK: send RecordAck to @vm: @author, @boot, @sequence, @refused */
	JH_RECORD_SEND_ACK,
	/**
	 * @JH_RECORD_NOTIFY_REQUESTER: report the outcome to @requester: @tag, @is_durable,
	 * @retry_after_ms
	 */
	JH_RECORD_NOTIFY_REQUESTER,
	/**
	 * @JH_RECORD_STORE_BATCH: create object @name with @body unless it exists, then call the
	 * on_stored() function of the type that requested it, once
	 */
	JH_RECORD_STORE_BATCH,
} jh_record_action_kind_t;

/**
 * struct jh_record_action - one action for the caller to run
 * @kind: type of action
 * @vm: interned name of the VM to send to
 * @author: interned name of the VM that wrote the line
 * @boot: boot id of the author's instance
 * @sequence: number of the line, from 1; 0 if the frame carries only @flushed
 * @line: text of the line; borrowed until the next call on the same object
 * @flushed: all lines up to this number are in the object store
 * @refused: the backup VM has no memory left for the line
 * @requester: task that waits for the line to become durable
 * @tag: the requester's own number for the line
 * @is_durable: the line survives the loss of any one VM, so the response may be released
 * @retry_after_ms: delay to suggest to the caller if the line is not durable, in milliseconds
 * @name: object name; borrowed until the result is reported
 * @body: object content; borrowed until the result is reported
 */
typedef struct jh_record_action {
	jh_record_action_kind_t kind;
	const char *vm;
	const char *author;
	uint64_t boot;
	uint64_t sequence;
	const char *line;
	uint64_t flushed;
	bool refused;
	jh_handle_t requester;
	uint64_t tag;
	bool is_durable;
	uint32_t retry_after_ms;
	const char *name;
	GBytes *body;
} jh_record_action_t;

/** enum jh_record_store_result - result of a JH_RECORD_STORE_BATCH action */
typedef enum jh_record_store_result {
	/** @JH_RECORD_STORED: the object exists, created by this attempt or an earlier one */
	JH_RECORD_STORED,
	/** @JH_RECORD_NOT_STORED: the object may be missing; the same batch is retried */
	JH_RECORD_NOT_STORED,
} jh_record_store_result_t;

/* A VM's own lines */

typedef struct jh_record_log jh_record_log_t;

/**
 * jh_record_log_new() - create an empty log
 * @self: name of this VM; copied
 * @boot: boot id of this instance of the daemon
 * @limit_bytes: memory limit for lines that are not in the object store yet
 *
 * The log has no backup VM until jh_record_log_set_vms().
 *
 * Return: new log; free with jh_record_log_free()
 */
jh_record_log_t *jh_record_log_new(const char *self, uint64_t boot, int64_t limit_bytes);

/** jh_record_log_free() - free the log and its lines, notifying no requester; NULL is allowed */
void jh_record_log_free(jh_record_log_t *log);

/**
 * jh_record_log_set_vms() - choose the backup VM and the flush interval
 * @log: the log
 * @vms: array of jh_vm_t *; not kept
 *
 * After a change of backup VM, the next tick sends all lines to the new one.
 */
void jh_record_log_set_vms(jh_record_log_t *log, const GPtrArray *vms);

/**
 * jh_record_log_append() - append a line and send it to the backup VM
 * @log: the log
 * @line: text; copied, with each control character replaced by '?'
 * @requester: task to notify by JH_RECORD_NOTIFY_REQUESTER, exactly once; JH_HANDLE_NONE for none
 * @tag: the requester's number for the line
 * @now_us: current time
 * @actions: array that actions are appended to
 *
 * A line that would exceed the memory limit is not recorded, and its requester is notified of
 * that immediately. A line that does not become durable in time is amended in the record with
 * released=no.
 */
void jh_record_log_append(jh_record_log_t *log, const char *line, jh_handle_t requester,
			  uint64_t tag, int64_t now_us, GArray *actions);

/**
 * jh_record_log_on_ack() - handle a RecordAck from @vm
 * @log: the log
 * @vm: name of the VM that sent the acknowledgement
 * @boot: boot id in the frame; acknowledgements for another instance are ignored
 * @sequence: number of the line; numbers that are not in the log are ignored
 * @refused: true if @vm has no memory left for the line
 * @actions: array that actions are appended to
 *
 * An acknowledged line is durable. A line that the backup VM refused goes to the alternate VM; if
 * that refuses as well, or does not exist, the log stops accepting new work.
 */
void jh_record_log_on_ack(jh_record_log_t *log, const char *vm, uint64_t boot, uint64_t sequence,
			  bool refused, GArray *actions);

/**
 * jh_record_log_on_peer_down() - the connection to @vm broke, and its copies may be lost
 *
 * If @vm is the backup VM, the next tick sends all lines again. Other VMs are ignored.
 */
void jh_record_log_on_peer_down(jh_record_log_t *log, const char *vm);

/**
 * jh_record_log_on_stored() - handle the result of a JH_RECORD_STORE_BATCH action of this log
 *
 * JH_RECORD_STORED removes the lines of the batch; JH_RECORD_NOT_STORED retries it later. Must be
 * called exactly once for each action: a result without one would drop lines that are not stored.
 */
void jh_record_log_on_stored(jh_record_log_t *log, jh_record_store_result_t result, int64_t now_us,
			     GArray *actions);

/** jh_record_log_on_tick() - run timeouts, retries and flushes; call at least 10 times a second */
void jh_record_log_on_tick(jh_record_log_t *log, int64_t now_us, GArray *actions);

/** jh_record_log_drain() - from now on, flush without waiting for the interval or a full batch */
void jh_record_log_drain(jh_record_log_t *log);

/**
 * jh_record_log_is_accepting() - whether the VM should start new work
 *
 * Return: false close to the memory limit or while the backup VMs refuse lines; the caller should
 * then refuse new requests before they run
 */
bool jh_record_log_is_accepting(const jh_record_log_t *log);

/**
 * jh_record_log_can_stop() - whether the daemon can stop without losing a line
 *
 * Return: true if every line is in the object store, or if the store fails and the backup VM has a
 * copy of each remaining line
 */
bool jh_record_log_can_stop(const jh_record_log_t *log);

/** jh_record_log_count() - count lines that are not in the object store yet */
unsigned jh_record_log_count(const jh_record_log_t *log);

/** jh_record_log_bytes() - memory used by lines that are not in the object store yet */
int64_t jh_record_log_bytes(const jh_record_log_t *log);

/** jh_record_log_backup_vm() - get the current backup VM. Return: interned name, NULL if none */
const char *jh_record_log_backup_vm(const jh_record_log_t *log);

/* Backup copies of other VMs' lines */

typedef struct jh_record_backup jh_record_backup_t;

/**
 * jh_record_backup_new() - create an empty set of backup copies
 * @self: name of this VM; copied
 * @boot: boot id of this instance of the daemon
 * @limit_bytes: memory limit for all copies
 *
 * Return: new set; free with jh_record_backup_free()
 */
jh_record_backup_t *jh_record_backup_new(const char *self, uint64_t boot, int64_t limit_bytes);

/** jh_record_backup_free() - free the set and its copies; NULL is allowed */
void jh_record_backup_free(jh_record_backup_t *backup);

/**
 * struct jh_record_put - content of a RecordPut frame
 * @author: name of the VM that wrote the line
 * @boot: boot id of the author's instance
 * @sequence: number of the line, from 1; 0 if the frame carries only @flushed
 * @line: text of the line
 * @flushed: all lines up to this number are in the object store
 */
typedef struct jh_record_put {
	const char *author;
	uint64_t boot;
	uint64_t sequence;
	const char *line;
	uint64_t flushed;
} jh_record_put_t;

/**
 * jh_record_backup_on_put() - handle a RecordPut from VM @from
 * @backup: the set
 * @from: name of the VM that receives the acknowledgement
 * @put: content of the frame; copied
 * @now_us: current time
 * @actions: array that the JH_RECORD_SEND_ACK action is appended to, if there is a line
 *
 * Copies the line, and drops copies of lines that the author has flushed. A repeated line is
 * acknowledged again. A line beyond the memory limit is refused.
 */
void jh_record_backup_on_put(jh_record_backup_t *backup, const char *from,
			     const jh_record_put_t *put, int64_t now_us, GArray *actions);

/** jh_record_backup_set_vms() - treat each author that is dead or missing in @vms as lost */
void jh_record_backup_set_vms(jh_record_backup_t *backup, const GPtrArray *vms, int64_t now_us);

/** jh_record_backup_on_peer_down() - treat @vm as lost, since the connection to it broke */
void jh_record_backup_on_peer_down(jh_record_backup_t *backup, const char *vm, int64_t now_us);

/**
 * jh_record_backup_on_stored() - handle the result of a JH_RECORD_STORE_BATCH action of this set
 *
 * JH_RECORD_STORED drops the copies in the batch; JH_RECORD_NOT_STORED retries it later. Must be
 * called exactly once for each action, and not without one.
 */
void jh_record_backup_on_stored(jh_record_backup_t *backup, jh_record_store_result_t result,
				int64_t now_us);

/** jh_record_backup_on_tick() - store lines of lost authors; call at least 10 times a second */
void jh_record_backup_on_tick(jh_record_backup_t *backup, int64_t now_us, GArray *actions);

/** jh_record_backup_count() - count the backup copies */
unsigned jh_record_backup_count(const jh_record_backup_t *backup);

/** jh_record_backup_bytes() - memory used by the backup copies */
int64_t jh_record_backup_bytes(const jh_record_backup_t *backup);

#endif
