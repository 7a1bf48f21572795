/**
 * A stand-in for the platform's ingress, as the page PROTOCOL describes it: it asks each machine
 * once per second whether it is ready, takes a machine out after two misses, and uses all machines
 * of a zone while fewer than half of them are in rotation.
 */
const intervalMs = 1000;
const maxMisses = 2;

export function createBalancer(run, machines) {
	const misses = new Map(machines.map(machine => [machine, 0]));
	const outOfRotation = new Set();
	let turn = 0;

	async function check(machine) {
		const isReady = await machine.isReady();
		const count = isReady ? 0 : misses.get(machine) + 1;
		misses.set(machine, count);
		const isOut = count >= maxMisses;
		if (isOut !== outOfRotation.has(machine)) {
			run.record(isOut ? 'out-of-rotation' : 'in-rotation', {machine: machine.name});
		}

		if (isOut) {
			outOfRotation.add(machine);
		} else if (isReady) {
			outOfRotation.delete(machine);
		}
	}

	const timer = setInterval(() => {
		for (const machine of machines) {
			void check(machine);
		}
	}, intervalMs);
	run.atEnd(() => {
		clearInterval(timer);
	});

	return {
		/** The machine to which the next new connection is forwarded. */
		choose() {
			const inRotation = machines.filter(machine => !outOfRotation.has(machine));
			const used = inRotation.length * 2 < machines.length ? machines : inRotation;
			turn++;
			return used[turn % used.length];
		},
	};
}
