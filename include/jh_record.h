#ifndef JH_RECORD_H
#define JH_RECORD_H

#include "jh_table.h"
#include "jh_view.h"

/**
 * DOC: The record of answers
 *
 * Each answer is one line. A VM numbers its own lines (jh_record_log_t) and has each held by
 * another VM (jh_record_backup_t) before the answer is released. Lines go to the object store in
 * batches whose names are put once; the holder puts those of a VM that was lost. Pure: actions are
 * appended to an array of jh_record_action_t, and time comes in. See docs/internals/record.md.
 */

/** JH_RECORD_PREFIX - names of all batches begin with this */
#define JH_RECORD_PREFIX "records/"

/** enum jh_record_kind - what the daemon shall do; the fields used stand behind each */
typedef enum jh_record_kind {
	/** @JH_RECORD_SEND: give a line to @vm: @author, @boot, @sequence, @line, @flushed */
	JH_RECORD_SEND,
	/** @JH_RECORD_ACK: tell @vm that a line is held: @author, @boot, @sequence, @refused */
	JH_RECORD_ACK,
	/** @JH_RECORD_DONE: answer @owner: @tag, @held, @retry_after_ms */
	JH_RECORD_DONE,
	/** @JH_RECORD_STORE: put object @name with @body once, and report how it went */
	JH_RECORD_STORE,
} jh_record_kind_t;

/**
 * struct jh_record_action - one step
 * @kind: which
 * @vm: interned name of the VM to send to
 * @author: interned name of the VM that wrote the line
 * @boot: the author's boot
 * @sequence: number of the line; 0 tells only what was flushed
 * @line: borrowed until the next event
 * @flushed: lines up to this number are in the object store
 * @refused: no memory is left for it
 * @owner: task that waits for the line
 * @tag: chosen by the owner
 * @held: the line survives the loss of any one VM
 * @retry_after_ms: when to come back if it is not held
 * @name: of the object; borrowed until it was reported
 * @body: of the object; borrowed until it was reported
 */
typedef struct jh_record_action {
	jh_record_kind_t kind;
	const char *vm;
	const char *author;
	uint64_t boot;
	uint64_t sequence;
	const char *line;
	uint64_t flushed;
	bool refused;
	jh_handle_t owner;
	uint64_t tag;
	bool held;
	uint32_t retry_after_ms;
	const char *name;
	GBytes *body;
} jh_record_action_t;

/** enum jh_record_stored - how putting an object went */
typedef enum jh_record_stored {
	/** @JH_RECORD_STORED: it is there, now or from an earlier try */
	JH_RECORD_STORED,
	/** @JH_RECORD_NOT_STORED: it may not be there; try again */
	JH_RECORD_NOT_STORED,
} jh_record_stored_t;

/* ---- a VM's own lines ---- */

typedef struct jh_record_log jh_record_log_t;

/** jh_record_log_new() - log of VM @self's life @boot, in at most @limit_bytes. Return: new */
jh_record_log_t *jh_record_log_new(const char *self, uint64_t boot, int64_t limit_bytes);

/** jh_record_log_free() - free the log */
void jh_record_log_free(jh_record_log_t *log);

/** jh_record_log_set_vms() - choose who holds the lines, among @vms (array of jh_vm_t *) */
void jh_record_log_set_vms(jh_record_log_t *log, const GPtrArray *vms);

/** jh_record_log_add() - record a line; copies it, with control characters replaced */
void jh_record_log_add(jh_record_log_t *log, const char *line, jh_handle_t owner, uint64_t tag,
		       int64_t now_us, GArray *actions);

/** jh_record_log_on_ack() - @vm holds a line, or refused it */
void jh_record_log_on_ack(jh_record_log_t *log, const char *vm, uint64_t boot, uint64_t sequence,
			  bool refused, GArray *actions);

/** jh_record_log_on_peer_down() - what @vm held is gone, or its connection broke */
void jh_record_log_on_peer_down(jh_record_log_t *log, const char *vm);

/** jh_record_log_on_stored() - the object last asked for was put, or not */
void jh_record_log_on_stored(jh_record_log_t *log, jh_record_stored_t result, int64_t now_us,
			     GArray *actions);

/** jh_record_log_on_tick() - time went on; call ten or more times a second */
void jh_record_log_on_tick(jh_record_log_t *log, int64_t now_us, GArray *actions);

/** jh_record_log_drain() - flush without waiting for a full batch from now on */
void jh_record_log_drain(jh_record_log_t *log);

/** jh_record_log_is_accepting() - false near the bound: new work should be refused as not run */
bool jh_record_log_is_accepting(const jh_record_log_t *log);

/** jh_record_log_is_safe() - every line is in the object store, or held while that is out */
bool jh_record_log_is_safe(const jh_record_log_t *log);

/** jh_record_log_count() - lines that are not in the object store yet */
unsigned jh_record_log_count(const jh_record_log_t *log);

/** jh_record_log_bytes() - memory that they take */
int64_t jh_record_log_bytes(const jh_record_log_t *log);

/** jh_record_log_backup() - who holds the lines now. Return: interned name or NULL */
const char *jh_record_log_backup(const jh_record_log_t *log);

/* ---- lines held for other VMs ---- */

typedef struct jh_record_backup jh_record_backup_t;

/** jh_record_backup_new() - VM @self's life @boot holds at most @limit_bytes. Return: new */
jh_record_backup_t *jh_record_backup_new(const char *self, uint64_t boot, int64_t limit_bytes);

/** jh_record_backup_free() - free it */
void jh_record_backup_free(jh_record_backup_t *hold);

/** struct jh_record_put - a line from its author, as in the frame */
typedef struct jh_record_put {
	const char *author;
	uint64_t boot;
	uint64_t sequence;
	const char *line;
	uint64_t flushed;
} jh_record_put_t;

/** jh_record_backup_on_put() - @from gave a line or told what was flushed */
void jh_record_backup_on_put(jh_record_backup_t *hold, const char *from, const jh_record_put_t *put,
			     int64_t now_us, GArray *actions);

/** jh_record_backup_set_vms() - lines of VMs that are dead or gone are stored from here */
void jh_record_backup_set_vms(jh_record_backup_t *hold, const GPtrArray *vms, int64_t now_us);

/** jh_record_backup_on_peer_down() - the connection to @vm broke; it may be lost */
void jh_record_backup_on_peer_down(jh_record_backup_t *hold, const char *vm, int64_t now_us);

/** jh_record_backup_on_stored() - the object last asked for was put, or not */
void jh_record_backup_on_stored(jh_record_backup_t *hold, jh_record_stored_t result,
				int64_t now_us);

/** jh_record_backup_on_tick() - time went on; call ten or more times a second */
void jh_record_backup_on_tick(jh_record_backup_t *hold, int64_t now_us, GArray *actions);

/** jh_record_backup_count() - lines held */
unsigned jh_record_backup_count(const jh_record_backup_t *hold);

/** jh_record_backup_bytes() - memory that they take */
int64_t jh_record_backup_bytes(const jh_record_backup_t *hold);

#endif
