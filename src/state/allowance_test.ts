import test from "ava";
import fc from "fast-check";
import {
  AllowanceHolder,
  AllowanceHome,
  type AllowanceRequest,
  type Grant,
  type Holdings,
} from "./allowance.ts";

const SEED = 20_261;
const RUNS = 2_000;
const LIMIT = 7;
const HOLDERS = 3;

type Message =
  | {
    readonly type: "request";
    readonly at: number;
    readonly request: AllowanceRequest;
  }
  | { readonly type: "grant"; readonly at: number; readonly grant: Grant }
  | { readonly type: "survey"; readonly at: number; readonly fence: number }
  | {
    readonly type: "answer";
    readonly at: number;
    readonly fence: number;
    readonly holdings: Holdings;
  };

/** Holders, successive homes, and a network that loses, duplicates and reorders messages. */
class Model {
  readonly holders = Array.from(
    { length: HOLDERS },
    () => new AllowanceHolder(),
  );
  home = new AllowanceHome(0, LIMIT);
  answered = new Set<number>(this.holders.keys());
  sent: Message[] = [];

  running(): number {
    return this.holders.reduce((sum, holder) => sum + holder.running, 0);
  }

  ask(at: number, need: number): void {
    const request = this.holders[at]!.request(need);
    this.sent.push({ type: "request", at, request });
  }

  lower(at: number): void {
    this.holders[at]!.lowerTo(0);
    this.ask(at, 0);
  }

  /** Replaces the home; the new one surveys the holders. */
  replaceHome(): void {
    const fence = this.home.fence + 1;
    this.home = new AllowanceHome(fence, LIMIT);
    this.answered = new Set();
    this.survey();
  }

  survey(): void {
    const { fence } = this.home;
    for (let at = 0; at < HOLDERS; at++) {
      this.sent.push({ type: "survey", at, fence });
    }
  }

  deliver(message: Message): void {
    const holder = this.holders[message.at]!;
    switch (message.type) {
      case "request":
        return this.#request(message.at, message.request);
      case "grant":
        holder.accept(message.grant);
        return;
      case "survey": {
        const { at, fence } = message;
        if (!holder.acceptFence(fence)) return;
        this.sent.push({
          type: "answer",
          at,
          fence,
          holdings: holder.report(),
        });
        return;
      }
      case "answer":
        if (message.fence !== this.home.fence) return;
        this.home.report(String(message.at), message.holdings);
        this.answered.add(message.at);
    }
  }

  deliverAll(): void {
    for (let next = this.sent.shift(); next; next = this.sent.shift()) {
      this.deliver(next);
    }
  }

  #request(at: number, request: AllowanceRequest): void {
    const complete = this.answered.size === HOLDERS;
    if (!complete || request.fence !== this.home.fence) return;
    const grant = this.home.grant(String(at), request, { holders: HOLDERS });
    this.sent.push({ type: "grant", at, grant });
  }
}

const holder = fc.nat({ max: HOLDERS - 1 });
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant("take"), at: holder }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constant("give"), at: holder }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("ask"),
      at: holder,
      need: fc.nat({ max: LIMIT }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("lower"), at: holder }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant("deliver"), at: fc.nat() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant("double"), at: fc.nat() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("drop"), at: fc.nat() }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant("replaceHome") }) },
);

interface ModelStep {
  readonly type: string;
  readonly at?: number;
  readonly need?: number;
}

function applyStep(model: Model, { type, at = 0, need = 0 }: ModelStep): void {
  const index = model.sent.length === 0 ? 0 : at % model.sent.length;
  switch (type) {
    case "take":
      return void model.holders[at]!.tryAcquire();
    case "give":
      return model.holders[at]!.release();
    case "ask":
      return model.ask(at, need);
    case "lower":
      return model.lower(at);
    case "replaceHome":
      return model.replaceHome();
    case "drop":
      return void model.sent.splice(index, 1);
    case "double":
      if (model.sent.length > 0) model.deliver(model.sent[index]!);
      return;
    case "deliver":
      return model.sent.splice(index, 1).forEach((each) => model.deliver(each));
  }
}

test("with lost, duplicated and reordered messages the limit is never exceeded and stays fully usable", (t) => {
  t.log(`seed ${SEED}`);
  const steps = fc.array(step, { maxLength: 120 });
  fc.assert(
    fc.property(steps, (sequence) => {
      const model = new Model();
      for (const each of sequence) {
        applyStep(model, each);
        if (model.running() > LIMIT) return false;
      }
      model.sent = [];
      model.survey();
      model.deliverAll();
      for (let at = 0; at < HOLDERS; at++) {
        while (model.holders[at]!.running > 0) model.holders[at]!.release();
        model.lower(at);
      }
      model.deliverAll();
      model.ask(0, LIMIT);
      model.deliverAll();
      return model.holders[0]!.granted === LIMIT;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("adopted work is reported but gives no allowance to start tasks", (t) => {
  const holder = new AllowanceHolder();
  holder.adopt(3);
  t.false(holder.tryAcquire());
  t.is(holder.report().adopted, 3);
});

test("the completion of adopted work frees no allowance", (t) => {
  const home = new AllowanceHome(0, 1);
  const [starter, adopter] = [new AllowanceHolder(), new AllowanceHolder()];
  const ask = (name: string, holder: AllowanceHolder) =>
    holder.accept(home.grant(name, holder.request(1), { holders: 2 }));
  ask("starter", starter);
  t.true(starter.tryAcquire());
  adopter.adopt(1);
  ask("adopter", adopter);
  starter.release();
  adopter.release();
  t.true(starter.tryAcquire());
  t.false(adopter.tryAcquire());
});

test("nothing is granted while the limit is below the sum held", (t) => {
  const home = new AllowanceHome(1, 10);
  home.report("a", { seq: 1, hold: 8, adopted: 0 });
  home.limit = 5;
  const request = { seq: 1, hold: 0, adopted: 0, fence: 1, need: 3 };
  t.is(home.grant("b", request, { holders: 2 }).hold, 0);
});
