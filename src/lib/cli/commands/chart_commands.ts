/** Commands that list and draw the state charts. */
import {Option} from 'commander';
import {ChartFormat, drawChart} from '../chart_drawing.js';
import {getChart, listChartNames} from '../chart_files.js';
import type {AddCommands} from '../command_context.js';
import {formatTable} from '../table.js';
import {createSuccess} from '../command_result.js';
import type {CommandResult} from '../command_result.js';

/** Adds `chart list` and `chart draw`. */
export const addChartCommands: AddCommands = (
  program,
  _context,
  bindAction,
) => {
  const chart = program
    .command('chart')
    .description('show the state charts that the programs interpret');
  bindAction(
    chart.command('list').description('list the charts'),
    listAllCharts,
  );
  const draw = chart
    .command('draw')
    .description('draw a chart from its file')
    .argument('<name>', 'name of the chart')
    .addOption(
      new Option('--format <format>', 'format of the drawing')
        .choices(Object.values(ChartFormat))
        .default(ChartFormat.TEXT),
    );
  bindAction(draw, (name: string, options: {format: ChartFormat}) => {
    const definition = getChart(name);
    return createSuccess(drawChart(definition, options.format), definition);
  });
};

function listAllCharts(): CommandResult {
  const charts = listChartNames().map(name => ({
    name,
    description: getChart(name).description,
  }));
  const rows = charts.map(({name, description}) => [name, description]);
  return createSuccess(formatTable(['CHART', 'DESCRIPTION'], rows), charts);
}
