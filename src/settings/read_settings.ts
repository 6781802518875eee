import {Result} from 'true-myth';
import {Finding} from '../types';
import {ResolvedSetting} from './resolved_setting';
import {Setting} from './setting';
import {SETTINGS} from './setting_list';
import {Settings} from './settings';

/** Input of the settings: the command line and the environment. */
export interface SettingInputs {
  /** Values of the flags on the command line, by flag. */
  readonly flags: Readonly<Record<string, unknown>>;
  /** Environment variables of the process. */
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const VARIABLE_PREFIX = 'SESAMEFRONT_';
const DEFAULT_PLACE = 'default';

/**
 * Returns the value of each setting and its source. A flag takes precedence
 * over an environment variable, which takes precedence over the default.
 *
 * @param inputs command line and environment
 */
export function resolveSettings(
  inputs: SettingInputs,
): readonly ResolvedSetting[] {
  return SETTINGS.map(setting => resolveSetting(setting, inputs));
}

/**
 * Reads and validates all settings.
 *
 * @param inputs command line and environment
 * @returns the settings, or all findings with their places
 */
export function readSettings(
  inputs: SettingInputs,
): Result<Settings, readonly Finding[]> {
  const findings: Finding[] = [...findUnknownVariables(inputs.environment)];
  const values: Record<string, unknown> = {};
  for (const setting of SETTINGS) {
    const resolved = resolveSetting(setting, inputs);
    const checked = setting.schema.safeParse(resolved.value);
    if (checked.success) values[setting.key] = checked.data;
    else {
      for (const {message} of checked.error.issues) {
        findings.push({place: resolved.place, message});
      }
    }
  }
  const settings = values as unknown as Settings;
  findings.push(...findPortConflicts(settings, inputs));
  findings.push(...findMissingTlsSettings(settings));
  if (findings.length > 0) return Result.err(findings);
  const memberId = settings.memberId ?? `entry-${settings.address}`;
  return Result.ok({...settings, memberId});
}

function resolveSetting(
  {flag, defaultValue, repeatable, secret = false}: Setting,
  {flags, environment}: SettingInputs,
): ResolvedSetting {
  const variable = getVariableName(flag);
  if (flags[flag] !== undefined) {
    return {flag, value: flags[flag], place: `--${flag}`, secret};
  }
  const text = environment[variable];
  if (text !== undefined) {
    const value = repeatable ? text.split(',') : text;
    return {flag, value, place: variable, secret};
  }
  return {flag, value: defaultValue, place: DEFAULT_PLACE, secret};
}

function getVariableName(flag: string): string {
  return VARIABLE_PREFIX + flag.toUpperCase().replaceAll('-', '_');
}

/** Variables of other commands, which may also be set in the environment. */
const OTHER_VARIABLES: readonly string[] = [
  'SESAMEFRONT_URL',
  'SESAMEFRONT_TOKEN',
  'SESAMEFRONT_CALLER_URL',
  'SESAMEFRONT_OUTPUT',
];

function findUnknownVariables(
  environment: SettingInputs['environment'],
): readonly Finding[] {
  const known = new Set([
    ...SETTINGS.map(({flag}) => getVariableName(flag)),
    ...OTHER_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter(name => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
    .map(place => ({place, message: 'is not the variable of any setting'}));
}

function findPortConflicts(
  settings: Settings,
  inputs: SettingInputs,
): readonly Finding[] {
  const flagsByPort = new Map<number, string>();
  const findings: Finding[] = [];
  for (const setting of SETTINGS.filter(({key}) => key.endsWith('Port'))) {
    const port = settings[setting.key] as number | undefined;
    if (!port) continue;
    const first = flagsByPort.get(port);
    if (first === undefined) flagsByPort.set(port, setting.flag);
    else {
      const {place} = resolveSetting(setting, inputs);
      findings.push({
        place,
        message: `port ${port} is already used by ${first}`,
      });
    }
  }
  return findings;
}

function findMissingTlsSettings(settings: Settings): readonly Finding[] {
  const {tlsCertificate, tlsKey, tlsAuthorities} = settings;
  const parts = [
    {flag: 'tls-certificate', value: tlsCertificate},
    {flag: 'tls-key', value: tlsKey},
    {flag: 'tls-authorities', value: tlsAuthorities},
  ];
  const missing = parts.filter(({value}) => value === undefined);
  if (missing.length === parts.length) return [];
  return missing.map(({flag}) => ({
    place: `--${flag}`,
    message: 'is required because another tls setting is given',
  }));
}
