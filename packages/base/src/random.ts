/** A seedable random source, so that a decision can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** A stream of random numbers. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed - the seed; equal seeds give equal streams */
  constructor(seed: number) {
    // eslint-disable-next-line no-bitwise
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /**
   * Draws an integer.
   *
   * @param least - the least value, inclusive
   * @param most - the greatest value, inclusive
   * @returns an integer of the range, each as likely
   */
  int(least: number, most: number): number {
    return uniformInt(this.#generator, least, most);
  }

  /**
   * Draws a fraction.
   *
   * @returns a number from 0 up to but without 1
   */
  fraction(): number {
    return this.int(0, 0x7fffffff - 1) / 0x7fffffff;
  }

  /**
   * Draws an exponentially distributed value.
   *
   * @param mean - the mean
   * @returns a value of zero or more
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /**
   * Picks one of the items.
   *
   * @param items - what to choose from
   * @returns an item, or undefined when there is none
   */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.int(0, items.length - 1)];
  }
}

/**
 * Makes a random source with a seed that differs at each start.
 *
 * @returns the source
 */
export function createRandomSource(): RandomSource {
  return new RandomSource(Math.floor(Math.random() * 0x7fffffff));
}
