import type { Results } from "./results.ts";
export function benchShares(_results: Results, _seed: number): void {}
