import type { Results } from "./results.ts";
export function benchPacking(_results: Results, _seed: number): void {}
