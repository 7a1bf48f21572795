/**
 * Creates winston loggers that write JSON or text. Use them for state changes only; data about
 * single requests belongs in counters, spans or the rate-limited event log. Top-level fields whose
 * names suggest a secret are masked as a safeguard, although no code should log a secret.
 */
import {createLogger as createWinstonLogger, format, transports, type Logger} from 'winston';
import type TransportStream from 'winston-transport';

export const logFormats = ['text', 'json'] as const;
export type LogFormat = (typeof logFormats)[number];
export const logLevels = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof logLevels)[number];

export type LoggerOptions = {
	readonly format: LogFormat;
	readonly level: LogLevel;
	/** Id of the instance, added to every JSON line; text lines do not show it. */
	readonly instance?: string;
	/** Destination of the lines; standard error by default. */
	readonly transport?: TransportStream;
};

const secretName = /key|secret|token|authorization|cookie|password/i;

const maskSecrets = format(entry => {
	for (const name of Object.keys(entry)) {
		if (secretName.test(name)) {
			entry[name] = '[masked]';
		}
	}

	return entry;
});

const textLine = format.printf(({timestamp, level, message, instance, ...fields}) => {
	const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	return [timestamp, level, message, ...details].map(String).join(' ');
});

const lineFormats = {
	text: textLine,
	json: format.json(),
} as const satisfies Record<LogFormat, unknown>;

export function createLogger(options: LoggerOptions): Logger {
	return createWinstonLogger({
		level: options.level,
		defaultMeta: options.instance === undefined ? {} : {instance: options.instance},
		format: format.combine(maskSecrets(), format.timestamp(), lineFormats[options.format]),
		transports: [options.transport ?? new transports.Console({stderrLevels: [...logLevels]})],
	});
}
