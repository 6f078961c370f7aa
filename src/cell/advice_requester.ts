/**
 * Requests advice about steps and stores the verdicts and tickets.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDispatcher, AdvisedQueue } from "./advice_dispatcher.ts";
import { type CellContext, endTermOnFailure } from "./context.ts";
import {
  type AdviceRequestContext,
  countSimilarStarts,
  MAX_RESPONSE_DELAY_MS,
  planAdviceRequests,
} from "./decisions/advice_requests.ts";
import { typicalRequestMs } from "./decisions/channels.ts";
import { AdviceBacklog } from "./decisions/advice_backlog.ts";
import { mayHaveUsableTicket } from "./decisions/placement.ts";
import type { FleetWorker } from "./fleet.ts";
import { addTicket, stepKey, type StepRun } from "./job.ts";
import type { Advice, Queue } from "./types.ts";
import type { WorkerProcess } from "./verdicts.ts";

/** Delay before a failed advice request is retried. */
const REQUEST_RETRY_DELAY_MS = 200;
/**
 * Delay before the next search of workers for a gang about which no request is
 * useful now. Some task usually ends within this time.
 */
const GANG_SEARCH_DELAY_MS = 50;
/** Delay before the next search of workers for a step that is not a gang. */
const STEP_SEARCH_DELAY_MS = 20;
/** Estimated share of workers that may run a step, before the first advice. */
const INITIAL_GOOD_SHARE = 0.4;
/**
 * Weight of a new response in the estimated share of workers that may run a
 * queue's steps.
 */
const GOOD_WEIGHT = 0.1;
/** Lower bound of the estimated share. */
const MIN_GOOD_SHARE = 0.05;

/**
 * A step that is refused a channel is checked this often for whether a request
 * could let it start, milliseconds.
 */
const START_CHECK_INTERVAL_MS = 500;
/**
 * Time between two such checks of a queue's steps, milliseconds. Each is a search
 * of workers, and hundreds of steps may wait.
 */
const QUEUE_CHECK_INTERVAL_MS = 100;

/** Input for the search of workers to ask about. */
export type AdviceSearchContext = Omit<
  AdviceRequestContext,
  "goodShare" | "freeChannels"
>;

/** An advice request for a step that is about to be sent. */
interface PlannedRequest {
  readonly queue: Queue & AdvisedQueue;
  readonly workers: readonly WorkerProcess[];
  readonly expectedMs: number;
}

function isAdvised(queue: Queue): queue is Queue & AdvisedQueue {
  return queue.advice !== undefined;
}

/** Sends the advice requests of one leader. */
export class AdviceRequester {
  readonly #context: CellContext;
  readonly #dispatcher: AdviceDispatcher;
  readonly #onAdvice: (step: StepRun) => void;
  /**
   * Estimated share of the asked workers on which a queue's steps may run, by
   * queue name.
   */
  readonly #goodShares = new Map<string, number>();
  readonly #backlog = new AdviceBacklog();
  /**
   * When a step of a queue was last checked, monotonic milliseconds, by queue
   * name.
   */
  readonly #queueCheckedMs = new Map<string, number>();
  #searchTimer: Timer | undefined;

  /** `onAdvice` is called after each response, also after failed ones. */
  constructor(
    context: CellContext,
    dispatcher: AdviceDispatcher,
    onAdvice: (step: StepRun) => void,
  ) {
    this.#context = context;
    this.#dispatcher = dispatcher;
    this.#onAdvice = onAdvice;
  }

  /** Ends a scheduling pass: its refused requests are the backlog. */
  endPass(): void {
    this.#backlog.endPass();
  }

  /** How long a new request of a queue would wait for a channel, milliseconds. */
  waitMs(queue: Queue): number {
    return this.#backlog.waitMs(queue, {
      channels: this.#dispatcher.channelCount,
      quickerActive: this.#dispatcher.quickerActive,
    });
  }

  /** Counts a submission that may request advice in the next scheduling pass. */
  addSubmission(queue: Queue): void {
    this.#backlog.addSubmission(queue);
  }

  /**
   * Whether a step needs a ticket, has none, and cannot request one now. Without
   * `context` only if that is known without a search of workers, which is
   * expensive for the hundreds of steps that may wait.
   */
  mustWait(
    step: StepRun,
    queue: Queue,
    context?: AdviceSearchContext,
  ): boolean {
    const { tickets, requestsInFlight, retryAtMs } = step.advice;
    if (!isAdvised(queue) || tickets.size > 0) return false;
    const nowMs = this.#context.clock.monotonic();
    if (requestsInFlight > 0 || retryAtMs > nowMs) return true;
    if (this.#dispatcher.freeSlotsFor(queue) > 0) return false;
    if (context === undefined && this.#mayCheckStarts(step, queue, nowMs)) {
      return false;
    }
    this.#recordRefusal(step, queue, context);
    return true;
  }

  /** Sends advice requests for a step if that is possible and useful now. */
  request(step: StepRun, context: AdviceSearchContext): void {
    const { queue } = context;
    if (!isAdvised(queue) || !this.#ready(step, queue, context)) return;
    this.#sendRequests(step, {
      queue,
      context,
      freeChannels: this.#dispatcher.freeSlotsFor(queue),
    });
  }

  /**
   * Requests advice for a step at its team's limit, so that it can start as soon
   * as the limit has room. Only uses channels that nothing else waits for, and
   * leaves one free.
   */
  requestAhead(step: StepRun, context: AdviceSearchContext): void {
    const { queue, nowMs } = context;
    const { requestsInFlight, retryAtMs, startsCheckedMs } = step.advice;
    if (!isAdvised(queue) || mayHaveUsableTicket(step, context)) return;
    if (requestsInFlight > 0 || retryAtMs > nowMs) return;
    if (nowMs - startsCheckedMs < START_CHECK_INTERVAL_MS) return;
    if (!this.#backlog.isEmpty) return;
    const freeChannels = this.#dispatcher.freeSlotsFor(queue) - 1;
    if (freeChannels > 0) {
      this.#sendRequests(step, { queue, context, freeChannels });
    }
  }

  #sendRequests(
    step: StepRun,
    { queue, context, freeChannels }: {
      readonly queue: Queue & AdvisedQueue;
      readonly context: AdviceSearchContext;
      readonly freeChannels: number;
    },
  ): void {
    const workerLists = this.#plan(step, context, freeChannels);
    if (workerLists.length === 0) {
      step.advice.similarStarts = 0;
      step.advice.startsCheckedMs = context.nowMs;
      this.#dispatcher.recordUnused(queue);
      return this.#scheduleSearch(step, context.nowMs);
    }
    const { baseMs, perWorkerMs } = queue.advice;
    const planned = workerLists.map((workers): PlannedRequest => ({
      queue,
      workers: workers.map(({ id, processStartMs }) => ({
        id,
        processStartMs,
      })),
      expectedMs: baseMs + workers.length * perWorkerMs,
    }));
    for (const request of planned) {
      void endTermOnFailure(
        this.#context,
        "advice request",
        () => this.#sendRequest(step, request),
      );
    }
  }

  #ready(
    step: StepRun,
    queue: Queue & AdvisedQueue,
    context: AdviceSearchContext,
  ): boolean {
    const { requestsInFlight, retryAtMs } = step.advice;
    if (requestsInFlight > 0) return false;
    if (retryAtMs > this.#context.clock.monotonic()) return false;
    if (this.#dispatcher.freeSlotsFor(queue) > 0) return true;
    this.#recordRefusal(step, queue, context);
    return false;
  }

  /**
   * Records that a step finds no free channel, unless it would send no request
   * through one: without room or without further workers to ask about, it must
   * not claim a channel.
   */
  #recordRefusal(
    step: StepRun,
    queue: Queue & AdvisedQueue,
    context: AdviceSearchContext | undefined,
  ): void {
    const { advice } = step;
    if (
      context !== undefined && this.#mayCheckStarts(step, queue, context.nowMs)
    ) {
      this.#queueCheckedMs.set(queue.name, context.nowMs);
      advice.startsCheckedMs = context.nowMs;
      advice.similarStarts = this.#plan(step, context, 1).length > 0
        ? countSimilarStarts(step, context)
        : 0;
    }
    if (advice.similarStarts === 0) return;
    this.#dispatcher.recordRefusal(queue);
    this.#backlog.add(queue, advice.similarStarts);
  }

  #mayCheckStarts({ advice }: StepRun, queue: Queue, nowMs: number): boolean {
    return nowMs - advice.startsCheckedMs >= START_CHECK_INTERVAL_MS &&
      nowMs - (this.#queueCheckedMs.get(queue.name) ?? -Infinity) >=
        QUEUE_CHECK_INTERVAL_MS;
  }

  #plan(
    step: StepRun,
    context: AdviceSearchContext,
    freeChannels: number,
  ): readonly (readonly FleetWorker[])[] {
    const goodShare = this.#goodShareOf(context.queue);
    return planAdviceRequests(step, { ...context, goodShare, freeChannels });
  }

  async #sendRequest(step: StepRun, planned: PlannedRequest): Promise<void> {
    const { clock, requestPass } = this.#context;
    const { workers, expectedMs } = planned;
    const { advice } = step;
    const sentMs = clock.monotonic();
    let overdue = false;
    advice.requestsInFlight++;
    const timer = clock.after(expectedMs + MAX_RESPONSE_DELAY_MS, () => {
      overdue = true;
      advice.requestsInFlight--;
      requestPass();
    });
    const response = await this.#dispatcher.send({
      queue: planned.queue.name,
      step: stepKey(step),
      workers: workers.map(({ id }) => id),
      processStartsMs: workers.map(({ processStartMs }) => processStartMs),
      expectedMs,
      typicalMs: typicalRequestMs(planned.queue.advice),
    });
    timer.cancel();
    this.#logResponse(step, response, {
      asked: workers.length,
      tookMs: Math.round(clock.monotonic() - sentMs),
      expectedMs: Math.round(expectedMs),
    });
    if (response.type === "advised") {
      this.#recordVerdicts(step, { planned, tickets: response.tickets });
    } else advice.retryAtMs = clock.monotonic() + REQUEST_RETRY_DELAY_MS;
    advice.startsCheckedMs = -Infinity;
    this.#onAdvice(step);
    if (!overdue) advice.requestsInFlight--;
  }

  /**
   * Skips the search for this step for a while. A scheduling pass afterwards
   * considers capacity that has become free.
   */
  #scheduleSearch(step: StepRun, nowMs: number): void {
    const delayMs = step.spec.gang
      ? GANG_SEARCH_DELAY_MS
      : STEP_SEARCH_DELAY_MS;
    step.advice.retryAtMs = nowMs + delayMs;
    const { clock, requestPass } = this.#context;
    this.#searchTimer ??= clock.after(delayMs, () => {
      this.#searchTimer = undefined;
      requestPass();
    });
  }

  #logResponse(
    step: StepRun,
    response: Advice,
    figures: {
      readonly asked: number;
      readonly tookMs: number;
      readonly expectedMs: number;
    },
  ): void {
    this.#context.log.info("advice.answered", {
      job: step.job.id,
      step: step.index,
      queue: step.job.queue,
      good: response.type === "advised" ? response.tickets.size : 0,
      ...figures,
      outcome: response.type,
      reason: response.type === "failed" ? response.message : undefined,
    });
  }

  #recordVerdicts(
    step: StepRun,
    { planned: { queue, workers }, tickets }: {
      readonly planned: PlannedRequest;
      readonly tickets: ReadonlyMap<string, string>;
    },
  ): void {
    const { clock, fleet } = this.#context;
    const { verdicts } = step.advice;
    const atMs = clock.monotonic();
    let newVerdicts = 0;
    let newGood = 0;
    for (const worker of workers) {
      // Both the verdict and the ticket are void for another process.
      const current = fleet.workers.get(worker.id);
      if (current?.processStartMs !== worker.processStartMs) continue;
      const ticket = tickets.get(worker.id);
      if (verdicts.on(worker) === undefined) {
        newVerdicts++;
        if (ticket !== undefined) newGood++;
      }
      verdicts.record(worker, ticket !== undefined);
      if (ticket !== undefined) addTicket(step, worker, { ticket, atMs });
    }
    if (newVerdicts === 0) return;
    const share = this.#goodShareOf(queue);
    const next = share + GOOD_WEIGHT * (newGood / newVerdicts - share);
    this.#goodShares.set(queue.name, Math.max(MIN_GOOD_SHARE, next));
  }

  #goodShareOf(queue: Queue): number {
    return this.#goodShares.get(queue.name) ?? INITIAL_GOOD_SHARE;
  }
}
