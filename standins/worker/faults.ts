/**
 * Faults of a worker, set through its control endpoint.
 *
 * @module
 */
import * as t from "io-ts";

/** Body of POST /control; what is left out stays as it is. */
export const Control = t.partial({
  /** Everything that it starts fails at once. */
  failing: t.boolean,
  /** Starts of tasks are refused. */
  leaving: t.boolean,
  /** Requests are refused too while it is leaving. */
  refuseRequests: t.boolean,
  /** Connections open now get no byte any more. */
  silent: t.boolean,
  /** Connections opened from now on get no byte either. */
  silentNew: t.boolean,
  /** Factor by which work takes longer. */
  slow: t.number,
  /** Number of answers whose connections are cut half-way. */
  truncate: t.number,
  /** Answers of the agent are no JSON. */
  garbage: t.boolean,
  /** New connections are refused. */
  refuse: t.boolean,
  /** Time between the readings that reports are made of. */
  reportLagMs: t.number,
});
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

/** Faults in force. */
export class Faults {
  failing = false;
  leaving = false;
  refuseRequests = false;
  silentNew = false;
  garbage = false;
  slow = 1;
  #truncate = 0;

  /** Takes over what the control message says. */
  set(control: Control): void {
    this.failing = control.failing ?? this.failing;
    this.leaving = control.leaving ?? this.leaving;
    this.refuseRequests = control.refuseRequests ?? this.refuseRequests;
    this.silentNew = control.silentNew ?? this.silentNew;
    this.garbage = control.garbage ?? this.garbage;
    this.slow = control.slow ?? this.slow;
    this.#truncate = control.truncate ?? this.#truncate;
  }

  /** Whether this answer is to be cut half-way. */
  truncateAnswer(): boolean {
    if (this.#truncate === 0) return false;
    this.#truncate -= 1;
    return true;
  }
}
