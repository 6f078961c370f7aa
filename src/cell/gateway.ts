/**
 * Passes calls of clients on to the leader of the cell, in this process or in
 * another one.
 *
 * Submissions are idempotent by their id, so a call whose reply was lost is
 * retried, at the next leader if leadership has changed.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Metrics } from "../metrics.ts";
import type { Peers } from "../ports/peers.ts";
import type { Cell } from "./cell.ts";
import type { RejectionReason } from "./decisions/admission.ts";
import type { Leadership } from "./leadership.ts";
import {
  cancelCall,
  type CancelReply,
  stateCall,
  type StateReply,
  submitCall,
  type SubmitReply,
} from "./protocol.ts";
import type { ActiveSet } from "./active_set.ts";
import type { Submission } from "./submission.ts";
import type { JobState, StepSpec } from "./types.ts";

/** Time for which a call that has reached no leader is retried, milliseconds: a takeover and the recovery that follows. */
const MAX_LEADER_WAIT_MS = 900;
/** Interval between attempts to reach the leader, milliseconds. */
const LEADER_CHECK_INTERVAL_MS = 25;
/** Timeout of one attempt to call the leader, milliseconds. */
const CALL_TIMEOUT_MS = 1_200;
/** Time without a message from the leader up to which calls are likely to succeed, milliseconds: a takeover and the recovery that follows. */
const MAX_READY_SILENCE_MS = 1_800;

/** Result of a client's call. `refused`: it had no effect; `unknown`: it may have taken effect. */
export type GatewayResult<A> =
  | { readonly type: "answered"; readonly answer: A }
  | { readonly type: "refused"; readonly reason: RejectionReason }
  | { readonly type: "unknown" };

/** The call did not reach a leader. */
interface NotLeader {
  readonly type: "notHolder";
}

const NOT_LEADER: NotLeader = { type: "notHolder" };

/** Dependencies of {@linkcode Gateway}. */
export interface GatewayOptions {
  readonly peers: Peers;
  readonly leadership: Leadership;
  /** The cell, if this process leads it and has recovered its state. */
  readonly cell: () => Cell | undefined;
  readonly set: ActiveSet;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Handles the calls of one instance's clients. */
export class Gateway {
  readonly #options: GatewayOptions;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#serveCalls();
  }

  /** Submits a job. `deadlineMs` is in monotonic milliseconds. */
  async submit(
    submission: Submission,
    deadlineMs: number,
  ): Promise<GatewayResult<"accepted">> {
    const reply = await this.#callLeader<SubmitReply>(deadlineMs, {
      unknown: { type: "unknown" },
      local: (cell) => cell.submit(submission),
      remote: (leader, timeoutMs) =>
        this.#options.peers.call(leader, submitCall, {
          params: {
            id: submission.id,
            queue: submission.queue,
            team: submission.team,
            setVersion: this.#options.set.version,
            spec: {
              ...submission.spec,
              steps: submission.spec.steps.map(toWireStep),
            },
          },
          timeoutMs,
        }),
    });
    if (reply === undefined) return { type: "refused", reason: "noHolder" };
    switch (reply.type) {
      case "accepted":
        return { type: "answered", answer: "accepted" };
      case "refused":
        return { type: "refused", reason: reply.reason };
      case "unknown":
      case "notHolder":
        return { type: "unknown" };
    }
  }

  /** Returns the state of a job, or `absent` if there is no such job. `deadlineMs` is in monotonic milliseconds. */
  async state(
    id: string,
    deadlineMs: number,
  ): Promise<GatewayResult<JobState | "absent">> {
    const reply = await this.#callLeader<StateReply | NoReply>(deadlineMs, {
      unknown: { type: "unknown" },
      local: (cell) => Promise.resolve(toStateReply(cell, id)),
      remote: (leader, timeoutMs) =>
        this.#options.peers.call(leader, stateCall, {
          params: { id },
          timeoutMs,
        }),
    });
    switch (reply?.type) {
      case "found":
        return { type: "answered", answer: reply.state };
      case "absent":
        return { type: "answered", answer: "absent" };
      // A read has no effect, so a lost reply is a refusal, not an unknown outcome.
      case "unknown":
      case "notHolder":
      case undefined:
        return { type: "refused", reason: "noHolder" };
    }
  }

  /** Cancels a job; `absent` if there is no such job. `deadlineMs` is in monotonic milliseconds. */
  async cancel(
    id: string,
    deadlineMs: number,
  ): Promise<GatewayResult<"canceled" | "absent">> {
    const reply = await this.#callLeader<CancelReply>(deadlineMs, {
      unknown: { type: "unknown" },
      local: async (cell) => ({ type: await cell.cancel(id) }),
      remote: (leader, timeoutMs) =>
        this.#options.peers.call(leader, cancelCall, {
          params: { id },
          timeoutMs,
        }),
    });
    if (reply === undefined) return { type: "refused", reason: "noHolder" };
    switch (reply.type) {
      case "canceled":
      case "absent":
        return { type: "answered", answer: reply.type };
      case "unknown":
      case "notHolder":
        return { type: "unknown" };
    }
  }

  /** Number of accepted jobs of a queue that have not started; refused while no recent number is known. */
  waitingJobs(queue: string): GatewayResult<number> {
    const counts = this.#options.leadership.waitingJobs();
    return counts === undefined
      ? { type: "refused", reason: "noHolder" }
      : { type: "answered", answer: counts.get(queue) ?? 0 };
  }

  /** Whether calls are likely to succeed: an operator set is loaded, and this process leads or heard of a leader recently. */
  get ready(): boolean {
    const { leadership, set, cell } = this.#options;
    if (set.set === undefined) return false;
    return cell() !== undefined ||
      leadership.silenceMs < MAX_READY_SILENCE_MS;
  }

  #serveCalls(): void {
    const { peers, set } = this.#options;
    peers.serve(submitCall, async (params): Promise<SubmitReply> => {
      // Checked before the wait, as a process that has just started may have no set for some time.
      if (this.#options.cell() === undefined) return { type: "notHolder" };
      await set.waitForVersion(params.setVersion, CALL_TIMEOUT_MS);
      const cell = this.#options.cell();
      if (cell === undefined) return { type: "notHolder" };
      return await cell.submit(params);
    });
    peers.serve(stateCall, ({ id }): StateReply => {
      const cell = this.#options.cell();
      return cell === undefined
        ? { type: "notHolder" }
        : toStateReply(cell, id);
    });
    peers.serve(cancelCall, async ({ id }): Promise<CancelReply> => {
      const cell = this.#options.cell();
      if (cell === undefined) return { type: "notHolder" };
      return { type: await cell.cancel(id) };
    });
  }

  /** Resolves to the reply, or to `undefined` if leadership changes first. */
  #unlessLeaderChanges<A>(reply: Promise<A>): Promise<A | undefined> {
    return new Promise((resolve) => {
      const removeListener = this.#options.leadership.onLeaderChange(() =>
        resolve(undefined)
      );
      reply.then(resolve).finally(removeListener);
    });
  }

  /** Calls the leader until it replies or the deadline passes; `undefined` if the call has reached no leader. */
  async #callLeader<A extends { readonly type: string }>(
    deadlineMs: number,
    call: {
      /** Makes the call if this process leads. */
      readonly local: (cell: Cell) => Promise<A>;
      /** Makes the call if another instance leads. */
      readonly remote: (
        leader: string,
        timeoutMs: number,
      ) => ResultAsync<A, PeerFailure>;
      /** Result if the call was sent and no reply was received. */
      readonly unknown: A;
    },
  ): Promise<A | undefined> {
    const { clock, leadership, metrics } = this.#options;
    const startedMs = clock.monotonic();
    let last: A | undefined;
    for (;;) {
      const now = clock.monotonic();
      if (now >= deadlineMs) return last;
      const cell = this.#options.cell();
      const leader = leadership.leader;
      if (cell !== undefined || leader !== undefined) {
        const timeoutMs = Math.min(CALL_TIMEOUT_MS, deadlineMs - now);
        const reply = cell !== undefined
          ? await call.local(cell)
          : await this.#unlessLeaderChanges(
            toReply(call.remote(leader!.name, timeoutMs), call.unknown),
          );
        // No reply, or a leader that could not determine the outcome: the call may have taken effect.
        if (reply === undefined || reply.type === "unknown") {
          last = call.unknown;
        } else if (isLeaderReply(reply)) {
          metrics.observe("holder_answer_ms", clock.monotonic() - startedMs);
          return reply;
        }
      }
      // A call that may have taken effect is retried until the deadline, since the client can't retry it safely.
      const waitedMs = clock.monotonic() - startedMs;
      if (last === undefined && waitedMs > MAX_LEADER_WAIT_MS) return undefined;
      await sleep(clock, LEADER_CHECK_INTERVAL_MS);
    }
  }
}

/** The leader did not reply. */
interface NoReply {
  readonly type: "unknown";
}

/** Returns a peer's reply; a call that was never sent has not reached a leader. */
function toReply<A extends { readonly type: string }>(
  call: ResultAsync<A, PeerFailure>,
  unknown: A,
): Promise<A | NotLeader> {
  return call.match(
    (reply): A | NotLeader => reply,
    (failure) => failure.type === "peerUnreached" ? NOT_LEADER : unknown,
  );
}

function isLeaderReply<A extends { readonly type: string }>(
  reply: A | NotLeader,
): reply is A {
  return reply.type !== "notHolder";
}

function toStateReply(cell: Cell, id: string): StateReply {
  const state = cell.state(id);
  switch (state) {
    case "absent":
      return { type: "absent" };
    case "unknown":
      return NOT_LEADER;
    default:
      return { type: "found", state };
  }
}

function toWireStep(step: StepSpec): StepSpec & { after: number[] } {
  return { ...step, after: [...step.after] };
}
