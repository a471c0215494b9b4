use base::{GroupId, Span};

use crate::{
    ack::Acknowledgement, column::Column, error::TableError, key::RowKey, policy::Policy, row::Row,
};

/// Header line of the CSV without the line end; names [`Column::ALL`] in order.
pub const HEADER: &str =
    "name,rank,group,weight,floor,in_flight,per_second,queue,target_ms,age_ms,ack";

const MAX_NAME_CHARS: usize = 63;
const MAX_WEIGHT: u32 = 10_000;
const MAX_PERCENT: u32 = 100;
const MAX_LIMIT: u32 = 1_000_000;
/// One day, for target latency and age of data.
const MAX_MILLIS: u32 = 86_400_000;

/// Parses CSV into rows with their line numbers.
pub(crate) fn rows(text: &str) -> Result<Vec<(u64, Row)>, TableError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    check_header(reader.headers().map_err(csv_error)?)?;
    reader.records().map(|record| parse_row(&record.map_err(csv_error)?)).collect()
}

/// Writes rows as CSV, starting with the header.
pub(crate) fn render<'a>(rows: impl Iterator<Item = &'a Row>) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let header = Column::ALL.map(Column::as_str);
    writer.write_record(header).expect("writing to a vector cannot fail");
    for row in rows {
        let cells = Column::ALL.map(|column| row.cell(column));
        writer.write_record(cells).expect("writing to a vector cannot fail");
    }
    let bytes = writer.into_inner().expect("writing to a vector cannot fail");
    String::from_utf8(bytes).expect("cells are valid UTF-8")
}

fn check_header(found: &csv::StringRecord) -> Result<(), TableError> {
    let found: Vec<&str> = found.iter().collect();
    let found = found.join(",");
    if found != HEADER {
        return Err(TableError::InvalidHeader { expected: HEADER.to_owned(), found });
    }
    Ok(())
}

fn csv_error(error: csv::Error) -> TableError {
    let line = error.position().map_or(0, csv::Position::line);
    TableError::Csv { line, message: error.to_string() }
}

fn parse_row(record: &csv::StringRecord) -> Result<(u64, Row), TableError> {
    let cells = Cells { line: record.position().map_or(0, csv::Position::line), record };
    let policy = Policy {
        weight: cells.number(Column::Weight, 1, MAX_WEIGHT)?,
        floor: cells.number(Column::Floor, 0, MAX_PERCENT)?,
        in_flight: cells.limit(Column::InFlight)?,
        per_second: cells.limit(Column::PerSecond)?,
        queue: cells.limit(Column::Queue)?,
        target: cells.span(Column::TargetMs)?,
        age: cells.span(Column::AgeMs)?,
        ack: cells.parse_with(Column::Ack, Acknowledgement::from_name)?,
    };
    let rank = cells.parse_with(Column::Rank, |text| text.parse().ok())?;
    let key = RowKey { name: cells.name(Column::Name)?.to_owned(), rank };
    let group = GroupId::new(cells.name(Column::Group)?);
    Ok((cells.line, Row { key, group, policy }))
}

struct Cells<'a> {
    line: u64,
    record: &'a csv::StringRecord,
}

impl<'a> Cells<'a> {
    fn text(&self, column: Column) -> &'a str {
        self.record.get(column as usize).unwrap_or_default()
    }

    fn parse_with<T>(
        &self,
        column: Column,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, TableError> {
        let text = self.text(column);
        let error = || TableError::InvalidCell { line: self.line, column, found: text.to_owned() };
        parse(text).ok_or_else(error)
    }

    fn name(&self, column: Column) -> Result<&'a str, TableError> {
        self.parse_with(column, |text| is_name(text).then_some(text))
    }

    fn number(&self, column: Column, min: u32, max: u32) -> Result<u32, TableError> {
        self.parse_with(column, |text| {
            let number = text.parse().ok()?;
            (min..=max).contains(&number).then_some(number)
        })
    }

    fn limit(&self, column: Column) -> Result<Option<u32>, TableError> {
        let number = self.number(column, 0, MAX_LIMIT)?;
        Ok((number > 0).then_some(number))
    }

    fn span(&self, column: Column) -> Result<Option<Span>, TableError> {
        let millis = self.number(column, 0, MAX_MILLIS)?;
        Ok((millis > 0).then_some(Span::from_millis(u64::from(millis))))
    }
}

fn is_name(text: &str) -> bool {
    let chars = text.chars().count();
    (1..=MAX_NAME_CHARS).contains(&chars) && !text.chars().any(char::is_control)
}
