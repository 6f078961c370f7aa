import test from "ava";
import { type Bed, holds, openBed, underLoad } from "./_faulted_load_test.ts";
import { call } from "./http.ts";
import type { Load } from "./load.ts";
import { ended } from "./processes.ts";
import { pause } from "./testbed.ts";

const STRIKE_MS = 1_000;
const LONG_WORK_MS = 2_500;
const REQUESTS_EACH = 5;

/** Requests that were cut, or of which nobody knows what became. */
function cut(load: Load): unknown[] {
  return load.requests.filter(({ outcome }) =>
    outcome === "noAnswer" || outcome === "unknown"
  );
}

test.serial("instances are replaced one after another and cut nothing", async (t) => {
  const bed = await openBed(t);
  const exits: (number | null)[] = [];
  const load = await underLoad(t, bed, {
    durationMs: 15_000,
    strike: async () => {
      for (const node of bed.bed.nodes) {
        const { child } = node.process;
        await ended(node.process);
        exits.push(child.exitCode);
        bed.bed.restart(node);
        await bed.bed.ready();
      }
    },
  });
  t.deepEqual(exits, [0, 0, 0]);
  t.deepEqual(cut(load), []);
});

test.serial("all instances are replaced at once and lose no work", async (t) => {
  const bed = await openBed(t);
  await underLoad(t, bed, {
    durationMs: 4_000,
    strike: async () => {
      await pause(STRIKE_MS);
      const { nodes } = bed.bed;
      await Promise.all(nodes.map((node) => bed.bed.kill(node)));
      for (const node of nodes) bed.bed.restart(node);
      t.true(await holds(() => bed.bed.ready().then(() => true)));
    },
  });
});

/** Sends requests that take long; gives their statuses. */
function longRequests({ bed, keys }: Bed): Promise<number>[] {
  const authorization = `Bearer ${keys["counter"]}`;
  return bed.nodes.flatMap(({ callers }) =>
    Array.from({ length: REQUESTS_EACH }, async () => {
      const { status } = await call(callers, {
        path: "/v1/request/receipt-print/x",
        headers: { authorization, "x-work-ms": String(LONG_WORK_MS) },
      });
      return status;
    })
  );
}

interface Started {
  readonly workers: readonly { readonly requests: readonly unknown[] }[];
}

test.serial("a shutdown of all instances cuts nothing in flight", async (t) => {
  const bed = await openBed(t);
  const { nodes } = bed.bed;
  const answers = longRequests(bed);
  const sent = answers.length;
  t.true(
    await holds(async () => {
      const { workers } = await bed.bed.workerRecords() as Started;
      return workers.flatMap(({ requests }) => requests).length === sent;
    }),
  );
  const exits = nodes.map((node) => ended(node.process));
  t.deepEqual(await Promise.all(answers), Array(sent).fill(200));
  await Promise.all(exits);
  t.deepEqual(nodes.map(({ process }) => process.child.exitCode), [0, 0, 0]);
});
