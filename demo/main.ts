/**
 * The demo: stand-ins of the platform and five instances as processes serve
 * the counters of the example; one instance is killed on the way, a limit is
 * changed, and the stand-ins' own records are checked at the end.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { issueKey } from "../src/operator_set/keys.ts";
import {
  type CheckOptions,
  checkRecords,
  evidenceOf,
  type WorkerRecord,
} from "../testbed/checker.ts";
import type { RequestNote } from "../testbed/load.ts";
import { pause, Testbed } from "../testbed/testbed.ts";
import { Counter } from "./counter.ts";
import { heading, say, table } from "./screen.ts";

const CAPACITY = {
  cpuMillis: 64_000,
  memoryMib: 262_144,
  accelerators: 0,
  slots: 8,
};
const INSTANCES = 5;
const WORKERS = 30;
const KEY_TEAMS = ["ulaanbaatar-central", "darkhan"] as const;
const RECEIPTS = 400;
const IN_FORCE_MS = 3_000;

const example = new URL(
  "../../examples/tsagaan-khuudas/set.ini",
  import.meta.url,
);

async function main(): Promise<boolean> {
  const issued = KEY_TEAMS.map((team) => issueKey(`${team}-demo`, team));
  const keys = new Map(issued.map(({ key, presented }) => [
    key.team,
    presented,
  ]));
  const set = readFileSync(example, "utf8") +
    issued.map(({ key }) =>
      `\n[key ${key.name}]\nteam = ${key.team}\nsalt = ${key.salt}\nhash = ${key.hash}\n`
    ).join("");
  heading("zinniapoint: photocopy counters across Mongolia, a busy minute");
  const bed = await Testbed.start({
    instances: INSTANCES,
    workers: WORKERS,
    zones: ["ulaanbaatar-1", "ulaanbaatar-2", "ulaanbaatar-3"],
    workerArguments: [
      "--latency-ms",
      "0.5",
      "--report-lag-ms",
      "200",
      "--request-cpu-millis",
      "500",
      "--request-memory-mib",
      "256",
    ],
    set,
  });
  try {
    return await tell(bed, { set, keys });
  } finally {
    await bed.stop();
  }
}

async function tell(
  bed: Testbed,
  { set, keys }: {
    readonly set: string;
    readonly keys: ReadonlyMap<string, string>;
  },
): Promise<boolean> {
  say(`${INSTANCES} instances and ${WORKERS} workers in 3 zones are ready`);
  const counter = new Counter(bed, keys);
  const works = await counter.submitMonthEnd();
  say(`${works.length} pieces of deferred work accepted: billing and a gang`);
  const calm = await counter.print(RECEIPTS);
  describe("receipts while billing runs", calm);
  const printing = counter.print(RECEIPTS);
  await pause(200);
  await bed.kill(bed.nodes[1]!);
  say("instance-2 is killed while it answers and holds work");
  const stormy = await printing;
  describe("receipts around the kill", stormy);
  await changeLimit(bed, set);
  const unfinished = await counter.settle(works);
  say(`${works.length - unfinished.length} of ${works.length} works finished`);
  return await check(bed, { notes: [...calm, ...stormy], unfinished });
}

function describe(what: string, notes: readonly RequestNote[]): void {
  const times = notes.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  const outcomes = ["done", "notRun", "unknown", "noAnswer"] as const;
  table(what, [
    ...outcomes.map((outcome) =>
      [
        outcome,
        notes.filter((note) => note.outcome === outcome).length,
      ] as const
    ),
    ["median ms", times[times.length >> 1] ?? 0],
    ["99th percentile ms", times[Math.floor(times.length * 0.99)] ?? 0],
  ]);
}

async function changeLimit(bed: Testbed, set: string): Promise<void> {
  const changed = set.replace("running = 120", "running = 100");
  const startedAt = Date.now();
  await bed.publish(changed);
  const nodes = bed.nodes.filter((_, index) => index !== 1);
  for (const node of nodes) {
    while (await limitAt(bed, node) !== 100) {
      if (Date.now() - startedAt > 2 * IN_FORCE_MS) return say("limit: late");
      await pause(20);
    }
  }
  const tookMs = Date.now() - startedAt;
  say(`a published limit of 100 is in force at every instance in ${tookMs} ms`);
}

async function limitAt(
  bed: Testbed,
  node: Testbed["nodes"][number],
): Promise<number | undefined> {
  const status = await bed.operate(node, "/v1/status") as {
    teams: readonly { team: string; limit?: number }[];
  };
  return status.teams
    .find(({ team }) => team === "ulaanbaatar-central")?.limit;
}

async function check(
  bed: Testbed,
  told: {
    readonly notes: readonly RequestNote[];
    readonly unfinished: readonly string[];
  },
): Promise<boolean> {
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  const options: CheckOptions = {
    load: { requests: [...told.notes] },
    records: workers,
    capacity: CAPACITY,
    services: [{
      prefix: "/receipts",
      need: { cpuMillis: 500, memoryMib: 256, accelerators: 0, slots: 1 },
      idempotent: false,
    }],
    onceTasks: ["page-count-billing"],
    limits: { "ulaanbaatar-central": 120, darkhan: 90 },
    requestTeam: "ulaanbaatar-central",
    unfinished: told.unfinished,
  };
  const violations = checkRecords(options);
  table("the stand-ins' own records", Object.entries(violations));
  const good = Object.values(violations).every((count) => count === 0);
  say(good ? "all promises held" : "a promise was broken");
  const evidence = evidenceOf(options);
  if (evidence.length > 0) process.stderr.write(evidence.join("\n") + "\n");
  return good;
}

process.exitCode = await main() ? 0 : 1;
