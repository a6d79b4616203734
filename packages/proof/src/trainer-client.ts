/** A trainer: publishes weights, makes steps, and collects samples by cursor. */
import { request } from 'undici';

import { type Cluster, pause } from './cluster';

const RETRY_MS = 200;
const TRIES = 150;
const WAIT_MS = 2000;
const HTTP_OK = 200;

/** One delivered sample. */
export interface DeliveredSample {
  readonly number: number;
  readonly id: string;
  readonly tokens: readonly string[];
  readonly segments: readonly {
    readonly version: number;
    readonly fromToken: number;
    readonly toToken: number;
  }[];
}

/** A group of a step. */
export interface GroupPlan {
  readonly id: string;
  readonly prompt: string;
  readonly count: number;
  readonly maxTokens: number;
  readonly seed?: number;
}

/** A page of samples, as the trainer API answers it. */
export interface Page {
  readonly samples: readonly DeliveredSample[];
  readonly done?: boolean;
  readonly next?: number;
}

/** A trainer that retries what was refused. */
export class TrainerClient {
  readonly #cluster: Cluster;

  readonly #path: string;

  readonly #team: string;

  #turn = 0;

  /**
   * @param cluster - the deployment
   * @param options - the trainer and the team whose key it shows
   */
  constructor(cluster: Cluster, options: { trainer: string; team: string }) {
    this.#cluster = cluster;
    this.#path = `/v1/trainers/${options.trainer}`;
    this.#team = options.team;
  }

  /** Publishes a weight version. */
  async publish(version: number): Promise<void> {
    await this.#retry('POST', `${this.#path}/weights`, { version });
  }

  /** Creates a step. */
  async createStep(step: string, groups: readonly GroupPlan[]): Promise<void> {
    await this.#retry('POST', `${this.#path}/steps`, { step, groups });
  }

  /** Reads a page of samples after a cursor. */
  async page(step: string, after: number, waitMs = WAIT_MS): Promise<Page> {
    const query = `after=${after}&waitMs=${waitMs}`;
    return (await this.#retry('GET', `${this.#path}/steps/${step}/samples?${query}`)) as Page;
  }

  /** Collects a step's samples until there are as many as wanted. */
  async collect(step: string, count: number): Promise<DeliveredSample[]> {
    const samples: DeliveredSample[] = [];
    while (samples.length < count) {
      const page = await this.page(step, samples.at(-1)?.number ?? 0);
      samples.push(...page.samples);
    }
    return samples;
  }

  async #retry(method: 'GET' | 'POST', path: string, body?: object): Promise<unknown> {
    let last = '';
    for (let turn = 0; turn < TRIES; turn += 1) {
      const answer = await this.#call(method, path, body);
      if (answer.status === HTTP_OK) return JSON.parse(answer.text);
      last = `${answer.status} ${answer.text}`;
      await pause(RETRY_MS);
    }
    throw new Error(`${method} ${path}: ${last}`);
  }

  async #call(method: 'GET' | 'POST', path: string, body?: object) {
    const urls = this.#cluster.entryUrls;
    this.#turn += 1;
    const url = `${urls[this.#turn % urls.length] ?? ''}${path}`;
    const headers = {
      authorization: this.#cluster.authorization(this.#team),
      ...(body && { 'content-type': 'application/json' }),
    };
    const options = { method, headers, ...(body && { body: JSON.stringify(body) }) };
    try {
      const res = await request(url, options);
      return { status: res.statusCode, text: await res.body.text() };
    } catch (error) {
      return { status: 0, text: String(error) };
    }
  }
}
