import test from "ava";
import { clientLimitsOf } from "./client_limits.ts";

const MIB = 1_048_576;

test("the limits of clients are a part of the process's memory and descriptors", (t) => {
  for (const [memoryMb, descriptors] of [[192, 1_200], [350, 4_200]] as const) {
    const memoryBytes = memoryMb * MIB;
    const limits = clientLimitsOf({ memoryBytes, descriptors });
    t.true(limits.connections <= descriptors / 2);
    const heldBytes = limits.bodiesBytes + limits.connections * 30 * 1_024 +
      limits.requests * 16 * 1_024;
    t.true(heldBytes <= memoryBytes / 4);
  }
});

test("few descriptors limit the connections, and little memory does", (t) => {
  const connections = (memoryMb: number, descriptors: number) =>
    clientLimitsOf({ memoryBytes: memoryMb * MIB, descriptors }).connections;
  t.is(connections(350, 400), 200);
  t.true(connections(64, 4_200) < connections(350, 4_200));
});
