/**
 * The two organisations for which the fleet is designed, with the sizes and rates of their fleets.
 */
import {type DispatchSettings} from '@shallotpond/policy-dispatch/dispatch-settings';
import {type FakeTargetBehaviour} from './fake-target.js';
import {type Organisation} from './simulated-fleet.js';

type ServiceParameters = {
	/** Number of targets. */
	readonly targets: number;
	/** Median in milliseconds. */
	readonly serviceTime: number;
};

type OrganisationParameters = {
	readonly name: string;
	readonly failureDomainCount: number;
	/** One-way delay between failure domains. Milliseconds. */
	readonly oneWayDelay: number;
	/** Maximum number of concurrent requests of one target. */
	readonly slots: number;
	/** Maximum number of connections of one target. */
	readonly connections: number;
	/** Default number of instances. */
	readonly instances: number;
	readonly services: Readonly<Record<string, ServiceParameters>>;
	/** Requests per second by workspace. */
	readonly rates: Readonly<Record<string, number>>;
};

const maxInstances = 48;
/** Burst of a workspace, in seconds of its rate. */
const burstSeconds = 0.5;

function createService(
	name: string,
	parameters: ServiceParameters,
	organisation: OrganisationParameters,
) {
	const targets = Array.from({length: parameters.targets}, (_, index) => ({
		id: `${name}-${index}`,
		failureDomain: `domain-${index % organisation.failureDomainCount}`,
	}));
	const service: DispatchSettings = {
		targets,
		slots: organisation.slots,
		connections: organisation.connections,
		coldSlots: 1,
		warmUpAnswers: 20,
		warmUpStep: 2000,
		floor: 0.7,
		shardSize: 4,
	};
	return service;
}

function createOrganisation(parameters: OrganisationParameters): Organisation {
	const services = Object.entries(parameters.services);
	const rates = Object.entries(parameters.rates);
	const behaviourOf = ({serviceTime}: ServiceParameters): FakeTargetBehaviour => ({
		serviceTime,
		deviation: 0.5,
		slowFactor: 1,
		failRate: 0.01,
		blankRate: 0,
		flapPeriod: 0,
	});
	return {
		name: parameters.name,
		failureDomains: Array.from(
			{length: parameters.failureDomainCount},
			(_, index) => `domain-${index}`,
		),
		// From the delay within a rack up to that between failure domains with ordinary queueing.
		delay: [parameters.oneWayDelay / 4, parameters.oneWayDelay * 1.5],
		instances: parameters.instances,
		document: {
			version: 1,
			digest: 'digest-1',
			maxInstances,
			minorityFraction: 0.25,
			services: Object.fromEntries(
				services.map(([name, service]) => [name, createService(name, service, parameters)]),
			),
			workspaces: Object.fromEntries(
				rates.map(([name, rate]) => [name, {rate, burst: Math.ceil(rate * burstSeconds)}]),
			),
			domainsOut: [],
		},
		behaviour: Object.fromEntries(services.map(([name, service]) => [name, behaviourOf(service)])),
	};
}

/** Fjordvik Kommunale Badeverk, with its lifeguard rota. */
export const fjordvik: Organisation = createOrganisation({
	name: 'Fjordvik',
	failureDomainCount: 4,
	oneWayDelay: 1,
	slots: 4,
	connections: 330,
	instances: 48,
	services: {
		roster: {targets: 15, serviceTime: 30},
		swaps: {targets: 12, serviceTime: 40},
		handbook: {targets: 8, serviceTime: 60},
		coverage: {targets: 10, serviceTime: 50},
	},
	rates: {
		nordstrand: 400,
		havnebadet: 300,
		fjellvann: 200,
		sundet: 60,
		vika: 40,
		odden: 30,
		skjaeret: 20,
		holmen: 10,
	},
});

/** Adinkra Inkworks, with its card studios. */
export const inkworks: Organisation = createOrganisation({
	name: 'Inkworks',
	failureDomainCount: 3,
	oneWayDelay: 0.5,
	slots: 2,
	connections: 390,
	instances: 48,
	services: {
		proofs: {targets: 18, serviceTime: 30},
		orders: {targets: 12, serviceTime: 25},
		fontpacks: {targets: 6, serviceTime: 40},
		prices: {targets: 10, serviceTime: 15},
	},
	rates: {
		sankofa: 250,
		nyame: 180,
		duafe: 120,
		aya: 50,
		fawohodie: 30,
		akoma: 20,
		dwennimmen: 15,
		mate: 10,
	},
});

export const organisations: readonly Organisation[] = [fjordvik, inkworks];
