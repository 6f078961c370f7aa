import test from "ava";
import * as t from "io-ts";
import { decode } from "./handshake.ts";

const Offer = t.type({
  worker: t.string,
  checkpoint: t.union([t.string, t.undefined]),
});

test("decode accepts an optional field that JSON omits", (t) => {
  t.deepEqual(decode(Offer, { worker: "w1" }), {
    worker: "w1",
    checkpoint: undefined,
  });
  t.is(decode(Offer, { checkpoint: "c" }), undefined);
});
