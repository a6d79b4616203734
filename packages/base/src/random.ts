/** A random source with a seed, so that tests and simulations can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** A pseudorandom number generator. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed - the seed; equal seeds give equal sequences */
  constructor(seed: number) {
    // eslint-disable-next-line no-bitwise
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /**
   * Draws an integer.
   *
   * @param min - the lowest value, inclusive
   * @param max - the highest value, inclusive
   * @returns an integer, uniformly distributed over the range
   */
  int(min: number, max: number): number {
    return uniformInt(this.#generator, min, max);
  }

  /**
   * Draws a fraction.
   *
   * @returns a number from 0 inclusive to 1 exclusive, uniformly distributed
   */
  fraction(): number {
    return this.int(0, 0x7fffffff - 1) / 0x7fffffff;
  }

  /**
   * Draws an exponentially distributed value.
   *
   * @param mean - the mean
   * @returns a value of at least zero
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /**
   * Picks one of the items with equal probability.
   *
   * @param items - the items
   * @returns an item, or undefined for an empty list
   */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.int(0, items.length - 1)];
  }
}

/**
 * Creates a random source with a random seed.
 *
 * @returns the random source
 */
export function createRandomSource(): RandomSource {
  return new RandomSource(Math.floor(Math.random() * 0x7fffffff));
}
