/**
 * The callers of the demo: shop counters that print receipts, and the
 * month-end work of two teams.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { call, type Reply } from "../testbed/http.ts";
import type { RequestNote } from "../testbed/load.ts";
import { type Node, pause, type Testbed } from "../testbed/testbed.ts";

/** Work that was accepted. */
export interface AcceptedWork {
  readonly id: string;
  readonly team: string;
}

const BILLING_RUNS = 24;
const BILLING_MS = 1_500;
const PRINT_SPACING_MS = 6;
const PRINT_MS = 40;
const SETTLE_MS = 30_000;
const TRIES = 5;

/** Callers behind a balancer that skips instances that refuse connections. */
export class Counter {
  readonly #bed: Testbed;
  readonly #keys: ReadonlyMap<string, string>;
  #turn = 0;

  constructor(bed: Testbed, keys: ReadonlyMap<string, string>) {
    this.#bed = bed;
    this.#keys = keys;
  }

  /** Prints receipts one shortly after the other. */
  async print(count: number): Promise<RequestNote[]> {
    const printing: Promise<RequestNote>[] = [];
    for (let index = 0; index < count; index++) {
      printing.push(this.#receipt());
      await pause(PRINT_SPACING_MS);
    }
    return await Promise.all(printing);
  }

  /** Submits billing runs of two teams and a gang. */
  async submitMonthEnd(): Promise<AcceptedWork[]> {
    const teams = [...this.#keys.keys()];
    const works: Promise<AcceptedWork>[] = [];
    for (let index = 0; index < BILLING_RUNS; index++) {
      const team = teams[index % teams.length]!;
      works.push(this.#submit("page-count-billing", team));
    }
    works.push(this.#submit("fleet-image", teams[0]!));
    return await Promise.all(works);
  }

  /** Waits for works to end; gives the ids of those that did not. */
  async settle(works: readonly AcceptedWork[]): Promise<string[]> {
    const until = Date.now() + SETTLE_MS;
    let open = [...works];
    while (open.length > 0 && Date.now() < until) {
      const ended = await Promise.all(open.map((work) => this.#ended(work)));
      open = open.filter((_, index) => !ended[index]);
      await pause(200);
    }
    return open.map(({ id }) => id);
  }

  async #receipt(): Promise<RequestNote> {
    const mark = randomUUID();
    const key = `${Date.now()}-${mark}`;
    const atMs = Date.now();
    const reply = await this.#call("ulaanbaatar-central", {
      method: "POST",
      path: `/v1/request/receipt-print/${mark}`,
      headers: { "x-work-ms": String(PRINT_MS), "x-receipt": key },
      body: mark,
    });
    const tookMs = Date.now() - atMs;
    const outcome = outcomeOf(reply, mark);
    return { mark, workload: "receipt-print", outcome, tookMs, atMs };
  }

  async #submit(workload: string, team: string): Promise<AcceptedWork> {
    const payload = Buffer.from(JSON.stringify({ runMs: BILLING_MS }))
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

  async #ended({ id, team }: AcceptedWork): Promise<boolean> {
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
    for (let tries = 0; tries < TRIES; tries++) {
      try {
        return await call(this.#next().callers, { ...options, headers });
      } catch (error) {
        if ((error as { code?: unknown }).code !== "ECONNREFUSED") break;
      }
    }
    return undefined;
  }

  #next(): Node {
    const { nodes } = this.#bed;
    return nodes[this.#turn++ % nodes.length]!;
  }
}

function outcomeOf(
  reply: Reply | undefined,
  mark: string,
): RequestNote["outcome"] {
  if (reply === undefined) return "noAnswer";
  const told = reply.headers["zinniapoint-outcome"];
  if (told === "notRun" || told === "unknown") return told;
  const { body } = JSON.parse(reply.body) as { body?: string };
  const echoed = Buffer.from(body ?? "", "base64").toString();
  return echoed === mark ? "done" : "crossed";
}
