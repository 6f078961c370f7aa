/**
 * Brings the calls of clients to the holder of the cell, wherever it is.
 *
 * Submissions are idempotent by their id, so a call whose answer was lost is
 * simply made again, at the next holder if there is one.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { type Clock, sleep } from "../clock.ts";
import type { PeerFailure } from "../errors.ts";
import type { Metrics } from "../metrics.ts";
import type { Peers } from "../ports/peers.ts";
import type { Cell } from "./cell.ts";
import type { RefusalReason } from "./decisions/admission.ts";
import type { Leadership } from "./leadership.ts";
import {
  type CancelAnswer,
  cancelCall,
  type StateAnswer,
  stateCall,
  type SubmitAnswer,
  submitCall,
} from "./protocol.ts";
import type { SetInForce } from "./set_in_force.ts";
import type { Submission } from "./submission.ts";
import type { JobState, StepSpec } from "./types.ts";

/** A call that no holder got waits for one so long at most, milliseconds: a takeover and its recovery. */
const HOLDER_WAIT_MS = 900;
/** A holder is looked for this often, milliseconds. */
const LOOK_EVERY_MS = 25;
/** A call to the holder is made again after this, milliseconds. */
const CALL_TIMEOUT_MS = 1_200;
/** Counts of waiting jobs older than this are not told, milliseconds; source: the platform's pages. */
const WAITING_MAX_AGE_MS = 1_800;

/** What a client is told. `unknown`: the call may have taken effect. */
export type GatewayAnswer<A> =
  | { readonly type: "answered"; readonly answer: A }
  | { readonly type: "refused"; readonly reason: RefusalReason }
  | { readonly type: "unknown" };

/** The call did not get to a holder. */
interface NoHolder {
  readonly type: "notHolder";
}

const NO_HOLDER: NoHolder = { type: "notHolder" };

/** What the gateway needs. */
export interface GatewayOptions {
  readonly peers: Peers;
  readonly leadership: Leadership;
  /** The cell, if this process holds it and has recovered it. */
  readonly cell: () => Cell | undefined;
  readonly set: SetInForce;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Calls of clients at one instance. */
export class Gateway {
  readonly #options: GatewayOptions;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#serve();
  }

  /** Hands a submission in. `deadlineMs` is on the monotonic clock. */
  async submit(
    submission: Submission,
    deadlineMs: number,
  ): Promise<GatewayAnswer<"accepted">> {
    const answer = await this.#reach<SubmitAnswer>(deadlineMs, {
      unknown: { type: "unknown" },
      here: (cell) => cell.submit(submission),
      there: (holder, timeoutMs) =>
        this.#options.peers.call(holder, submitCall, {
          params: {
            id: submission.id,
            queue: submission.queue,
            team: submission.team,
            setVersion: this.#options.set.version,
            spec: {
              ...submission.spec,
              steps: submission.spec.steps.map(wireStep),
            },
          },
          timeoutMs,
        }),
    });
    if (answer === undefined) return { type: "refused", reason: "noHolder" };
    switch (answer.type) {
      case "accepted":
        return { type: "answered", answer: "accepted" };
      case "refused":
        return { type: "refused", reason: answer.reason };
      case "unknown":
      case "notHolder":
        return { type: "unknown" };
    }
  }

  /** State of a job; `absent` if there is none. */
  async state(
    id: string,
    deadlineMs: number,
  ): Promise<GatewayAnswer<JobState | "absent">> {
    const answer = await this.#reach<StateAnswer | Silence>(deadlineMs, {
      unknown: { type: "unknown" },
      here: (cell) => Promise.resolve(stateAnswer(cell, id)),
      there: (holder, timeoutMs) =>
        this.#options.peers.call(holder, stateCall, {
          params: { id },
          timeoutMs,
        }),
    });
    switch (answer?.type) {
      case "found":
        return { type: "answered", answer: answer.state };
      case "absent":
        return { type: "answered", answer: "absent" };
      // A question changes nothing: not answered is not done.
      case "unknown":
      case "notHolder":
      case undefined:
        return { type: "refused", reason: "noHolder" };
    }
  }

  /** Cancels a job. */
  async cancel(
    id: string,
    deadlineMs: number,
  ): Promise<GatewayAnswer<"canceled" | "absent">> {
    const answer = await this.#reach<CancelAnswer>(deadlineMs, {
      unknown: { type: "unknown" },
      here: async (cell) => ({ type: await cell.cancel(id) }),
      there: (holder, timeoutMs) =>
        this.#options.peers.call(holder, cancelCall, {
          params: { id },
          timeoutMs,
        }),
    });
    if (answer === undefined) return { type: "refused", reason: "noHolder" };
    switch (answer.type) {
      case "canceled":
      case "absent":
        return { type: "answered", answer: answer.type };
      case "unknown":
      case "notHolder":
        return { type: "unknown" };
    }
  }

  /** Accepted jobs of a queue that have not begun. */
  waiting(queue: string): GatewayAnswer<number> {
    const cell = this.#options.cell();
    if (cell !== undefined) {
      return { type: "answered", answer: cell.waiting().get(queue) ?? 0 };
    }
    const { counts, ageMs } = this.#options.leadership.waitingNews();
    if (ageMs > WAITING_MAX_AGE_MS) {
      return { type: "refused", reason: "noHolder" };
    }
    return { type: "answered", answer: counts.get(queue) ?? 0 };
  }

  /** Whether calls have a chance now. */
  get ready(): boolean {
    const { leadership, set, cell } = this.#options;
    if (set.set === undefined) return false;
    return cell() !== undefined || leadership.silenceMs < WAITING_MAX_AGE_MS;
  }

  #serve(): void {
    const { peers, set } = this.#options;
    peers.serve(submitCall, async (params): Promise<SubmitAnswer> => {
      // A process that has just started may have no set for a while.
      if (this.#options.cell() === undefined) return { type: "notHolder" };
      await set.reaches(params.setVersion, CALL_TIMEOUT_MS);
      const cell = this.#options.cell();
      if (cell === undefined) return { type: "notHolder" };
      return await cell.submit(params);
    });
    peers.serve(stateCall, ({ id }): StateAnswer => {
      const cell = this.#options.cell();
      return cell === undefined ? { type: "notHolder" } : stateAnswer(cell, id);
    });
    peers.serve(cancelCall, async ({ id }): Promise<CancelAnswer> => {
      const cell = this.#options.cell();
      if (cell === undefined) return { type: "notHolder" };
      return { type: await cell.cancel(id) };
    });
  }

  /** `undefined` if another holder takes over before the answer comes. */
  #unlessReplaced<A>(answer: Promise<A>): Promise<A | undefined> {
    return new Promise((resolve) => {
      const end = this.#options.leadership.onReplaced(() => resolve(undefined));
      answer.then(resolve).finally(end);
    });
  }

  /** Makes a call at the holder until it answers; `undefined` if no holder ever got it. */
  async #reach<A extends { readonly type: string }>(
    deadlineMs: number,
    call: {
      readonly here: (cell: Cell) => Promise<A>;
      readonly there: (
        holder: string,
        timeoutMs: number,
      ) => ResultAsync<A, PeerFailure>;
      /** What is told when the call was sent and no answer came. */
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
      const holder = leadership.holder;
      if (cell !== undefined || holder !== undefined) {
        const timeoutMs = Math.min(CALL_TIMEOUT_MS, deadlineMs - now);
        const answer = cell !== undefined
          ? await call.here(cell)
          : await this.#unlessReplaced(
            answerOf(call.there(holder!.name, timeoutMs), call.unknown),
          );
        // A lost answer says as little as one that knows nothing.
        if (answer === undefined || answer.type === "unknown") {
          last = call.unknown;
        } else if (reachedHolder(answer)) {
          metrics.observe("holder_answer_ms", clock.monotonic() - startedMs);
          return answer;
        }
      }
      // One that may have been stored is made again: its client could not.
      const sinceMs = clock.monotonic() - startedMs;
      if (last === undefined && sinceMs > HOLDER_WAIT_MS) return undefined;
      await sleep(clock, LOOK_EVERY_MS);
    }
  }
}

/** The holder did not answer. */
interface Silence {
  readonly type: "unknown";
}

/** What a peer answers; a call that was never sent has met no holder. */
function answerOf<A extends { readonly type: string }>(
  call: ResultAsync<A, PeerFailure>,
  unknown: A,
): Promise<A | NoHolder> {
  return call.match(
    (answer): A | NoHolder => answer,
    (failure) => failure.type === "peerUnreached" ? NO_HOLDER : unknown,
  );
}

function reachedHolder<A extends { readonly type: string }>(
  answer: A | NoHolder,
): answer is A {
  return answer.type !== "notHolder";
}

function stateAnswer(cell: Cell, id: string): StateAnswer {
  const state = cell.state(id);
  return state === undefined ? { type: "absent" } : { type: "found", state };
}

function wireStep(step: StepSpec): StepSpec & { after: number[] } {
  return { ...step, after: [...step.after] };
}
