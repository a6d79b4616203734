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
  target: createSetting('target', 'Id of the target beside the agent.', requiredText<TargetId>()),
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
    'Requests that run at the target at once.',
    integerText(1, 4096),
    '8',
  ),
  queueItems: createSetting(
    'queue-items',
    'Most requests that wait for the target.',
    integerText(1, 100_000),
    '1000',
  ),
  queueTokens: createSetting(
    'queue-tokens',
    'Most estimated tokens that wait for the target.',
    integerText(1, 100_000_000),
    '1000000',
  ),
  storeBytes: createSetting(
    'store-bytes',
    'Most bytes of answers held until entries have taken them.',
    integerText(1, 1_000_000_000),
    '33554432',
  ),
  configAgeMs: createSetting(
    'config-age-ms',
    'Oldest confirmation of the configuration with which work may start, in milliseconds.',
    integerText(100, 60_000),
    '2500',
  ),
  drainMs: createSetting(
    'drain-ms',
    'Longest time that a shutdown waits for running work, in milliseconds.',
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

/** The checked settings of an agent. */
export type AgentSettings = SettingValues<typeof AGENT_SETTINGS>;
