/**
 * Guards against listeners that stay open after a failed start, services that stop before those
 * that depend on them, and a mailbox that handles two messages at once or stops after an error.
 */
import {describe, expect, test} from '@jest/globals';
import {createKernel, type KernelService} from '../kernel.js';
import {createMailbox} from '../mailbox.js';

describe('kernel', () => {
	test('a failed start stops the services that were already started, so that no listener leaks', async () => {
		const events: string[] = [];
		const kernel = createKernel<{first: KernelService; second: KernelService}>();
		kernel.provide('first', {
			start: () => void events.push('start first'),
			stop: () => void events.push('stop first'),
		});
		kernel.provide('second', {
			start() {
				throw new Error('port in use');
			},
		});
		await expect(kernel.start()).rejects.toThrow('service "second" did not start');
		expect(events).toEqual(['start first', 'stop first']);
	});

	test('services stop in reverse order, so that dependencies outlive their dependents', async () => {
		const events: string[] = [];
		const kernel = createKernel<{first: KernelService; second: KernelService}>();
		kernel.provide('first', {stop: () => void events.push('first')});
		kernel.provide('second', {stop: () => void events.push('second')});
		await kernel.start();
		await kernel.stop();
		expect(events).toEqual(['second', 'first']);
	});

	test('looking up an unknown name or registering a name twice throws', () => {
		const kernel = createKernel<{first: KernelService}>();
		expect(() => kernel.find('first')).toThrow('not registered');
		kernel.provide('first', {});
		expect(() => {
			kernel.provide('first', {});
		}).toThrow('already registered');
	});
});

describe('mailbox', () => {
	type Message = {readonly kind: 'add'; readonly amount: number} | {readonly kind: 'fail'};

	test('messages are handled one at a time, and an error in a handler does not stop the task', async () => {
		const context = {total: 0, running: 0};
		const errors: unknown[] = [];
		const mailbox = createMailbox<Message, typeof context>({
			context,
			onError: error => void errors.push(error),
			handlers: {
				async add(message, state) {
					state.running++;
					expect(state.running).toBe(1);
					await Promise.resolve();
					state.total += message.amount;
					state.running--;
				},
				fail() {
					throw new Error('broken');
				},
			},
		});
		mailbox.send({kind: 'add', amount: 1});
		mailbox.send({kind: 'fail'});
		mailbox.send({kind: 'add', amount: 2});
		await mailbox.close();
		mailbox.send({kind: 'add', amount: 4});
		await mailbox.idle();
		expect(context.total).toBe(3);
		expect(errors).toHaveLength(1);
	});
});
