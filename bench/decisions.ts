import type { Results } from "./results.ts";
export function benchDecisions(_results: Results, _seed: number): void {}
