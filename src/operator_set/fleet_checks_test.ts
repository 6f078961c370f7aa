import test from "ava";
import type { Worker } from "../types.ts";
import { checkAgainstFleet } from "./fleet_checks.ts";
import { parseOperatorSet } from "./parse.ts";

function worker(id: string, accelerators: number): Worker {
  return {
    id,
    address: "127.0.0.1:1",
    zone: "a",
    rack: "r",
    connections: 60,
    capacity: { cpuMillis: 4000, memoryMib: 8192, accelerators, slots: 8 },
  };
}

const FLEET = [worker("a", 0), worker("b", 1)];

const cases = [
  { name: "fits", fields: "kind = batch\ncpu = 4", types: [] },
  {
    name: "more cores than any worker has",
    fields: "kind = batch\ncpu = 5",
    types: ["neverFits"],
  },
  {
    name: "accelerators that only one worker has",
    fields: "kind = batch\naccelerators = 1",
    types: [],
  },
  {
    name: "gang that fits",
    fields: "kind = gang\ncpu = 2\ntasks = 4",
    types: [],
  },
  {
    name: "gang larger than the fleet",
    fields: "kind = gang\ncpu = 2\ntasks = 5",
    types: ["gangTooLarge"],
  },
  {
    name: "gang with a task larger than any worker",
    fields: "kind = gang\nmemory = 9GiB\ntasks = 2",
    types: ["neverFits"],
  },
];

for (const { name, fields, types } of cases) {
  test(name, (t) => {
    const text =
      `[team t]\n[queue q]\nurgency = deferred\nteams = t\n[workload w]\nqueue = q\n${fields}`;
    const set = parseOperatorSet(text, { file: "set.ini" })._unsafeUnwrap();
    const problems = checkAgainstFleet(set, FLEET);
    t.deepEqual(problems.map((problem) => problem.type), types);
  });
}
