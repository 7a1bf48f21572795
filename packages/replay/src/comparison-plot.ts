/**
 * Draws a bar chart of the requests that were refused although they were within the rate, by
 * organisation, scenario and policy.
 */
import {type OrganisationResults} from './compare.js';

/** Sizes are in pixels. */
const barHeight = 9;
const rowHeight = 2 * barHeight + 8;
const labelWidth = 260;
const chartWidth = 500;
const colours = {fleet: '#1b6ca8', local: '#d98324'} as const;

/** Returns an SVG document. The scale ends at the maximum ratio of refused requests, at least 0.1%. */
export function plotComparison(comparisons: readonly OrganisationResults[]): string {
	const rows = comparisons
		.filter(({policy}) => policy === 'fleet')
		.flatMap(({organisation, scenarios}) =>
			scenarios.map(({scenario}) => ({organisation, scenario})),
		);
	const refusedRatioOf = (organisation: string, policy: string, scenario: string) => {
		const result = comparisons
			.find(item => item.organisation === organisation && item.policy === policy)
			?.scenarios.find(item => item.scenario === scenario);
		return result === undefined ? 0 : result.refusedWithinRate / result.arrived;
	};

	const maxRatio = Math.max(
		0.001,
		...rows.flatMap(({organisation, scenario}) =>
			(['fleet', 'local'] as const).map(policy => refusedRatioOf(organisation, policy, scenario)),
		),
	);
	const lines = rows.flatMap(({organisation, scenario}, index) => {
		const top = 30 + index * rowHeight;
		const label = `<text x="${labelWidth - 8}" y="${top + 13}" text-anchor="end">${organisation}, ${scenario}</text>`;
		const bars = (['fleet', 'local'] as const).map((policy, position) => {
			const ratio = refusedRatioOf(organisation, policy, scenario);
			const width = (ratio / maxRatio) * chartWidth;
			const y = top + position * barHeight;
			return `<rect x="${labelWidth}" y="${y}" width="${width.toFixed(1)}" height="${barHeight - 1}" fill="${colours[policy]}"/><text x="${labelWidth + width + 4}" y="${y + 8}" font-size="9">${(ratio * 100).toFixed(2)}%</text>`;
		});
		return [label, ...bars];
	});
	const height = 40 + rows.length * rowHeight;
	const title = `Requests refused within the rate: <tspan fill="${colours.fleet}">fleet</tspan>, <tspan fill="${colours.local}">local baseline</tspan>`;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + chartWidth + 60}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<text x="10" y="18">${title}</text>`,
		...lines,
		'</svg>',
	].join('\n');
}
