import test from "ava";
import { Fleet } from "../fleet.ts";
import { openWorker } from "./_fixtures_test.ts";
import { SpeedThirds } from "./speed_thirds.ts";

function thirdsOf(factors: readonly number[]): readonly string[] {
  const fleet = new Fleet();
  const workers = factors.map((timeFactor, index) => {
    const worker = openWorker(fleet, `w${index}`);
    worker.timeFactor = timeFactor;
    return worker;
  });
  const thirds = new SpeedThirds(fleet);
  return workers.map((worker) => thirds.of(worker, 0));
}

test("workers of three speeds are in three thirds", (t) => {
  t.deepEqual(thirdsOf([1.67, 1, 0.63, 1.67, 1, 0.63]), [
    "slow",
    "middle",
    "fast",
    "slow",
    "middle",
    "fast",
  ]);
});

// Guards against thirds that tell noise as speed.
test("even workers are all in the middle", (t) => {
  t.deepEqual(thirdsOf([0.97, 1, 1.04]), ["middle", "middle", "middle"]);
  t.deepEqual(thirdsOf([1]), ["middle"]);
});

test("bounds follow speeds that change, and another service does not count", (t) => {
  const fleet = new Fleet();
  const worker = openWorker(fleet, "w0");
  const others = ["w1", "w2"].map((id) => openWorker(fleet, id));
  for (const id of ["x0", "x1", "x2"]) {
    openWorker(fleet, id, { service: "printer" }).timeFactor = 3;
  }
  const thirds = new SpeedThirds(fleet);
  t.is(thirds.of(worker, 0), "middle");
  worker.timeFactor = 1.5;
  t.is(thirds.of(worker, 2_000), "slow");
  for (const other of others) other.timeFactor = 1.5;
  t.is(thirds.of(worker, 4_000), "middle");
});
