import test from "ava";
import { Fleet } from "../fleet.ts";
import { openWorker } from "./_fixtures_test.ts";
import { SpeedTerciles } from "./speed_terciles.ts";

function tercilesOf(factors: readonly number[]): readonly string[] {
  const fleet = new Fleet();
  const workers = factors.map((timeFactor, index) => {
    const worker = openWorker(fleet, `w${index}`);
    worker.timeFactor = timeFactor;
    return worker;
  });
  const terciles = new SpeedTerciles(fleet);
  return workers.map((worker) => terciles.of(worker, 0));
}

test("workers of three speeds are in three terciles", (t) => {
  t.deepEqual(tercilesOf([1.67, 1, 0.63, 1.67, 1, 0.63]), [
    "slow",
    "middle",
    "fast",
    "slow",
    "middle",
    "fast",
  ]);
});

// Guards against terciles that present noise as differences in speed.
test("even workers are all in the middle tercile", (t) => {
  t.deepEqual(tercilesOf([0.97, 1, 1.04]), ["middle", "middle", "middle"]);
  t.deepEqual(tercilesOf([1]), ["middle"]);
});

test("bounds follow changing speeds and ignore other services", (t) => {
  const fleet = new Fleet();
  const worker = openWorker(fleet, "w0");
  const others = ["w1", "w2"].map((id) => openWorker(fleet, id));
  for (const id of ["x0", "x1", "x2"]) {
    openWorker(fleet, id, { service: "printer" }).timeFactor = 3;
  }
  const terciles = new SpeedTerciles(fleet);
  t.is(terciles.of(worker, 0), "middle");
  worker.timeFactor = 1.5;
  t.is(terciles.of(worker, 2_000), "slow");
  for (const other of others) other.timeFactor = 1.5;
  t.is(terciles.of(worker, 4_000), "middle");
});
