/**
 * Demo: starts stand-ins of the platform and five instances as processes, with the
 * operator set of the example. Clients send requests and deferred work while one
 * instance is killed and a limit is changed. The demo then checks the stand-ins'
 * records.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { issueKey } from "../src/operator_set/keys.ts";
import {
  capacityTimelines,
  type CheckOptions,
  checkRecords,
  type WorkerRecord,
} from "../testbed/checker.ts";
import type { RequestResult } from "../testbed/load.ts";
import { pause, Testbed } from "../testbed/testbed.ts";
import { CounterClients } from "./counter_clients.ts";
import { printHeading, printLine, printTable } from "./output.ts";

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
const ACTIVATION_MS = 3_000;

const EXAMPLE_SET = new URL(
  "../../examples/tsagaan-khuudas/set.ini",
  import.meta.url,
);

async function main(): Promise<boolean> {
  const issuedKeys = KEY_TEAMS.map((team) => issueKey(`${team}-demo`, team));
  const keys = new Map(issuedKeys.map(({ key, presented }) => [
    key.team,
    presented,
  ]));
  const set = readFileSync(EXAMPLE_SET, "utf8") +
    issuedKeys.map(({ key }) =>
      `\n[key ${key.name}]\nteam = ${key.team}\nsalt = ${key.salt}\nhash = ${key.hash}\n`
    ).join("");
  printHeading(
    "zinniapoint: photocopy counters across Mongolia, a busy minute",
  );
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
    return await runScenario(bed, { set, keys });
  } finally {
    await bed.stop();
  }
}

async function runScenario(
  bed: Testbed,
  { set, keys }: {
    readonly set: string;
    readonly keys: ReadonlyMap<string, string>;
  },
): Promise<boolean> {
  printLine(
    `${INSTANCES} instances and ${WORKERS} workers in 3 zones are ready`,
  );
  const counter = new CounterClients(bed, keys);
  const works = await counter.submitMonthEnd();
  printLine(`${works.length} submissions accepted: billing runs and a gang`);
  const undisturbed = await counter.print(RECEIPTS);
  printResults("receipts while billing runs", undisturbed);
  const printing = counter.print(RECEIPTS);
  await pause(200);
  await bed.kill(bed.instances[1]!);
  printLine("instance-2 is killed while it serves requests and owns work");
  const duringKill = await printing;
  printResults("receipts around the kill", duringKill);
  await changeLimit(bed, set);
  const unfinished = await counter.waitForSubmissions(works);
  printLine(
    `${
      works.length - unfinished.length
    } of ${works.length} submissions finished`,
  );
  return await checkGuarantees(bed, {
    notes: [...undisturbed, ...duringKill],
    unfinished,
  });
}

function printResults(what: string, results: readonly RequestResult[]): void {
  const times = results.map(({ elapsedMs: tookMs }) => tookMs).sort((a, b) =>
    a - b
  );
  const outcomes = ["done", "notRun", "unknown", "noAnswer"] as const;
  printTable(what, [
    ...outcomes.map((outcome) =>
      [
        outcome,
        results.filter((note) => note.outcome === outcome).length,
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
  const nodes = bed.instances.filter((_, index) => index !== 1);
  for (const node of nodes) {
    while (await limitAt(bed, node) !== 100) {
      if (Date.now() - startedAt > 2 * ACTIVATION_MS) {
        return printLine("limit: not active in time");
      }
      await pause(20);
    }
  }
  const elapsedMs = Date.now() - startedAt;
  printLine(
    `a published limit of 100 is active on every instance after ${elapsedMs} ms`,
  );
}

async function limitAt(
  bed: Testbed,
  node: Testbed["instances"][number],
): Promise<number | undefined> {
  const status = await bed.getAsOperator(node, "/v1/status") as {
    teams: readonly { team: string; limit?: number }[];
  };
  return status.teams
    .find(({ team }) => team === "ulaanbaatar-central")?.limit;
}

async function checkGuarantees(
  bed: Testbed,
  observed: {
    readonly notes: readonly RequestResult[];
    readonly unfinished: readonly string[];
  },
): Promise<boolean> {
  const { workers } = await bed.workerRecords() as {
    workers: readonly WorkerRecord[];
  };
  const options: CheckOptions = {
    load: { requests: [...observed.notes] },
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
    unfinished: observed.unfinished,
  };
  const violations = checkRecords(options);
  printTable(
    "violations in the stand-ins' records",
    Object.entries(violations),
  );
  const passed = Object.values(violations).every((count) => count === 0);
  printLine(passed ? "all guarantees held" : "a guarantee was violated");
  const evidence = capacityTimelines(options);
  if (evidence.length > 0) process.stderr.write(evidence.join("\n") + "\n");
  return passed;
}

process.exitCode = await main() ? 0 : 1;
