use std::ops;

use sqlparser::ast;

use crate::functions;

/// Searches a query for expressions that may write or that take locks which
/// outlive the transaction.
#[derive(Debug, Default)]
pub(crate) struct EffectVisitor {
    /// Whether any part of the query may write.
    pub(crate) may_write: bool,
    /// Whether the query acquires or releases a session-level advisory lock.
    pub(crate) session_lock: bool,
    statement_depth: usize,
}

impl EffectVisitor {
    fn record_function(&mut self, name: &ast::ObjectName) {
        let name = name.to_string().to_lowercase();
        self.session_lock |= functions::is_session_lock(&name);
        self.may_write |= !functions::is_side_effect_free(&name);
    }
}

impl ast::Visitor for EffectVisitor {
    type Break = ();

    fn pre_visit_query(&mut self, query: &ast::Query) -> ops::ControlFlow<()> {
        self.may_write |= !query.locks.is_empty();
        if let ast::SetExpr::Select(select) = query.body.as_ref() {
            self.may_write |= select.into.is_some();
        }
        ops::ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &ast::TableFactor) -> ops::ControlFlow<()> {
        match factor {
            ast::TableFactor::Table { name, args: Some(_), .. } => self.record_function(name),
            ast::TableFactor::Function { name, .. } => self.record_function(name),
            ast::TableFactor::TableFunction { .. } => self.may_write = true,
            _ => {}
        }
        ops::ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &ast::Expr) -> ops::ControlFlow<()> {
        if let ast::Expr::Function(function) = expr {
            self.record_function(&function.name);
        }
        ops::ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &ast::Statement) -> ops::ControlFlow<()> {
        let nested = self.statement_depth > 0;
        self.may_write |= nested && !matches!(statement, ast::Statement::Query(_));
        self.statement_depth += 1;
        ops::ControlFlow::Continue(())
    }

    fn post_visit_statement(&mut self, _: &ast::Statement) -> ops::ControlFlow<()> {
        self.statement_depth -= 1;
        ops::ControlFlow::Continue(())
    }
}
