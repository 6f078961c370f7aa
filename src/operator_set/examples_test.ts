import { readFileSync } from "node:fs";
import test from "ava";
import type { Worker } from "../types.ts";
import { checkAgainstFleet } from "./fleet_checks.ts";
import { parseOperatorSet } from "./parse.ts";

const examples = [
  { name: "tsagaan-khuudas", memoryMib: 256 * 1024 },
  { name: "costeo-fino", memoryMib: 128 * 1024 },
];

const WORKERS = 30;

function fleet(memoryMib: number): readonly Worker[] {
  const capacity = { cpuMillis: 64_000, memoryMib, accelerators: 0, slots: 8 };
  return Array.from({ length: WORKERS }, (_, index) => ({
    id: `w${index}`,
    address: `10.0.0.${index}:80`,
    zone: "a",
    rack: "r",
    capacity,
    connections: 60,
  }));
}

for (const { name, memoryMib } of examples) {
  test(`the example set ${name} is valid and fits its fleet`, (t) => {
    const file = `examples/${name}/set.ini`;
    const parsed = parseOperatorSet(readFileSync(file, "utf8"), { file });
    const set = parsed._unsafeUnwrap();
    t.deepEqual(checkAgainstFleet(set, fleet(memoryMib)), []);
    t.is(set.teams.size, 6);
    t.is(set.shares.size, 6);
    t.is(set.limits.size, 6);
  });
}
