/** The settings of `hibiscus-agent`. */
import {
  type InstanceId,
  type ServiceId,
  type SettingValues,
  type TargetId,
  type ZoneId,
  createSetting,
  integerText,
  requiredText,
} from '@hibiscushill/base';
import { z } from 'zod';

/** Every setting of the agent. */
export const AGENT_SETTINGS = {
  instance: createSetting('instance', 'Id of the instance.', requiredText<InstanceId>()),
  zone: createSetting('zone', 'Availability zone of the instance.', requiredText<ZoneId>()),
  innerListen: createSetting(
    'inner-listen',
    'Address that entries open their links to.',
    requiredText(),
    '127.0.0.1:0',
  ),
  target: createSetting(
    'target',
    'Id of the target that the agent runs beside.',
    requiredText<TargetId>(),
  ),
  service: createSetting(
    'service',
    'Service that the target belongs to.',
    requiredText<ServiceId>(),
  ),
  targetUrl: createSetting('target-url', 'Base URL of the target.', z.url()),
  logUrl: createSetting('log-url', "Base URL of the platform's log.", z.url()),
  instancesUrl: createSetting('instances-url', 'Base URL of the instance list.', z.url()),
  weightsUrl: createSetting('weights-url', 'Base URL of the weight store.', z.url()),
  slots: createSetting(
    'slots',
    'Maximum number of requests that run at the target concurrently.',
    integerText(1, 4096),
    '8',
  ),
  queueItems: createSetting(
    'queue-items',
    'Maximum number of requests that wait for the target.',
    integerText(1, 100_000),
    '1000',
  ),
  queueTokens: createSetting(
    'queue-tokens',
    'Maximum total of the estimated tokens of waiting requests.',
    integerText(1, 100_000_000),
    '1000000',
  ),
  storeBytes: createSetting(
    'store-bytes',
    'Maximum total size of responses that entries have not acknowledged yet, in bytes.',
    integerText(1, 1_000_000_000),
    '33554432',
  ),
  configAgeMs: createSetting(
    'config-age-ms',
    "Age of the configuration's confirmation above which requests are refused, in milliseconds.",
    integerText(100, 60_000),
    '2500',
  ),
  drainMs: createSetting(
    'drain-ms',
    'Maximum time that a shutdown waits for running requests, in milliseconds.',
    integerText(0, 3_600_000),
    '60000',
  ),
  queue: createSetting(
    'queue',
    'Order of waiting requests: `fair` by team, or `fifo` as a baseline.',
    z.enum(['fair', 'fifo']),
    'fair',
  ),
  statsdPort: createSetting(
    'statsd-port',
    'Port of the statsd server on this instance; 0 sends no metrics.',
    integerText(0, 65_535),
    '0',
  ),
} as const;

/** The validated settings of an agent. */
export type AgentSettings = SettingValues<typeof AGENT_SETTINGS>;
