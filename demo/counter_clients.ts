/**
 * Clients of the demo: shop counters that print receipts, and the month-end work of
 * two teams.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { call, type Reply } from "../testbed/http.ts";
import type { RequestResult } from "../testbed/load.ts";
import { pause, type Testbed, type TestInstance } from "../testbed/testbed.ts";

/** Accepted submission. */
export interface AcceptedSubmission {
  readonly id: string;
  readonly team: string;
}

const BILLING_RUNS = 24;
const BILLING_RUN_MS = 1_500;
const PRINT_INTERVAL_MS = 6;
const PRINT_WORK_MS = 40;
const FINISH_TIMEOUT_MS = 30_000;
const MAX_TRIES = 5;

/** Clients behind a load balancer that tries another instance when a connection is refused. */
export class CounterClients {
  readonly #bed: Testbed;
  readonly #keys: ReadonlyMap<string, string>;
  #nextIndex = 0;

  constructor(bed: Testbed, keys: ReadonlyMap<string, string>) {
    this.#bed = bed;
    this.#keys = keys;
  }

  /** Sends `count` requests at short intervals and waits for all results. */
  async print(count: number): Promise<RequestResult[]> {
    const printing: Promise<RequestResult>[] = [];
    for (let index = 0; index < count; index++) {
      printing.push(this.#printReceipt());
      await pause(PRINT_INTERVAL_MS);
    }
    return await Promise.all(printing);
  }

  /** Submits billing runs, alternating between the teams, and one gang. */
  async submitMonthEnd(): Promise<AcceptedSubmission[]> {
    const teams = [...this.#keys.keys()];
    const works: Promise<AcceptedSubmission>[] = [];
    for (let index = 0; index < BILLING_RUNS; index++) {
      const team = teams[index % teams.length]!;
      works.push(this.#submit("page-count-billing", team));
    }
    works.push(this.#submit("fleet-image", teams[0]!));
    return await Promise.all(works);
  }

  /** Waits until the submissions have finished; returns the ids of those that have not within the timeout. */
  async waitForSubmissions(
    works: readonly AcceptedSubmission[],
  ): Promise<string[]> {
    const until = Date.now() + FINISH_TIMEOUT_MS;
    let open = [...works];
    while (open.length > 0 && Date.now() < until) {
      const ended = await Promise.all(
        open.map((work) => this.#isFinished(work)),
      );
      open = open.filter((_, index) => !ended[index]);
      await pause(200);
    }
    return open.map(({ id }) => id);
  }

  async #printReceipt(): Promise<RequestResult> {
    const mark = randomUUID();
    const key = `${Date.now()}-${mark}`;
    const atMs = Date.now();
    const reply = await this.#call("ulaanbaatar-central", {
      method: "POST",
      path: `/v1/request/receipt-print/${mark}`,
      headers: { "x-work-ms": String(PRINT_WORK_MS), "x-receipt": key },
      body: mark,
    });
    const tookMs = Date.now() - atMs;
    const outcome = outcomeOf(reply, mark);
    return {
      mark,
      workload: "receipt-print",
      outcome,
      elapsedMs: tookMs,
      atMs,
    };
  }

  async #submit(workload: string, team: string): Promise<AcceptedSubmission> {
    const payload = Buffer.from(JSON.stringify({ runMs: BILLING_RUN_MS }))
      .toString("base64");
    const reply = await this.#call(team, {
      method: "POST",
      path: "/v1/work",
      headers: { "idempotency-key": randomUUID() },
      body: JSON.stringify({ workload, payload }),
    });
    const { id } = JSON.parse(reply?.body ?? "{}") as { id?: string };
    return { id: id ?? "", team };
  }

  async #isFinished({ id, team }: AcceptedSubmission): Promise<boolean> {
    const reply = await this.#call(team, { path: `/v1/work/${id}` });
    const { status } = JSON.parse(reply?.body ?? "{}") as { status?: string };
    return status === "finished";
  }

  async #call(
    team: string,
    options: Parameters<typeof call>[1],
  ): Promise<Reply | undefined> {
    const authorization = `Bearer ${this.#keys.get(team)}`;
    const headers = { ...options.headers, authorization };
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      try {
        return await call(this.#nextInstance().callers, {
          ...options,
          headers,
        });
      } catch (error) {
        if ((error as { code?: unknown }).code !== "ECONNREFUSED") break;
      }
    }
    return undefined;
  }

  #nextInstance(): TestInstance {
    const { instances: nodes } = this.#bed;
    return nodes[this.#nextIndex++ % nodes.length]!;
  }
}

function outcomeOf(
  reply: Reply | undefined,
  mark: string,
): RequestResult["outcome"] {
  if (reply === undefined) return "noAnswer";
  const reported = reply.headers["zinniapoint-outcome"];
  if (reported === "notRun" || reported === "unknown") return reported;
  const { body } = JSON.parse(reply.body) as { body?: string };
  const echoed = Buffer.from(body ?? "", "base64").toString();
  return echoed === mark ? "done" : "crossed";
}
