/**
 * Simulated faults of a worker, set through its control endpoint.
 *
 * @module
 */
import * as t from "io-ts";

/** Body of POST /control; absent fields keep their value. */
export const Control = t.partial({
  /** Requests and tasks fail as soon as they start. */
  failing: t.boolean,
  /** The worker reports that it is leaving and refuses to start tasks. */
  leaving: t.boolean,
  /** While leaving, the worker also refuses requests. */
  refuseRequests: t.boolean,
  /** Connections that are open now receive no more data. */
  silent: t.boolean,
  /** Connections opened from now on receive no data. */
  silentNew: t.boolean,
  /** Factor on the duration of requests and tasks. */
  slow: t.number,
  /** Number of responses to truncate: the connection is closed after half of the body. */
  truncate: t.number,
  /** The agent responds with a body that is not JSON. */
  garbage: t.boolean,
  /** New connections are refused. */
  refuse: t.boolean,
  /** Interval between the snapshots that reports are made from, milliseconds. */
  reportLagMs: t.number,
});
/** Body of POST /control. */
export type Control = t.TypeOf<typeof Control>;

/** Active faults. */
export class Faults {
  failing = false;
  leaving = false;
  refuseRequests = false;
  silentNew = false;
  garbage = false;
  slow = 1;
  #truncateCount = 0;

  /** Applies the fields that the control message contains. */
  set(control: Control): void {
    this.failing = control.failing ?? this.failing;
    this.leaving = control.leaving ?? this.leaving;
    this.refuseRequests = control.refuseRequests ?? this.refuseRequests;
    this.silentNew = control.silentNew ?? this.silentNew;
    this.garbage = control.garbage ?? this.garbage;
    this.slow = control.slow ?? this.slow;
    this.#truncateCount = control.truncate ?? this.#truncateCount;
  }

  /** Whether to truncate the current response; counts down `truncate`. */
  shouldTruncateResponse(): boolean {
    if (this.#truncateCount === 0) return false;
    this.#truncateCount -= 1;
    return true;
  }
}
